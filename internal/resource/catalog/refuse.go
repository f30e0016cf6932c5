package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"portstall/internal/config"
	"portstall/internal/resource"
)

// decode decodes a spec strictly: unknown fields and trailing data are refused.
func decode(r *resource.Resource, into any) error {
	d := json.NewDecoder(bytes.NewReader(r.Spec))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if len(bytes.TrimSpace(r.Spec[d.InputOffset():])) > 0 {
			return refuse(r.Key, "", "has trailing data after its spec")
		}
		return nil
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		if unquoted, e := strconv.Unquote(name); e == nil {
			name = unquoted
		}
		return refuse(r.Key, name, "is not a field of a %s", r.Kind)
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return refuse(r.Key, mismatch.Field, "is a %s, want %s", mismatch.Value, mismatch.Type)
	}
	return refuse(r.Key, "", "%v", err)
}

// refuse returns a *resource.Refusal as an error.
func refuse(k resource.Key, field, reason string, args ...any) error {
	return &resource.Refusal{Key: k, Field: field, Reason: fmt.Sprintf(reason, args...)}
}

// refusalOf returns the refusal of a resource that is invalid by itself, with the path of a *config.FieldError.
func refusalOf(k resource.Key, err error) error {
	var bad *config.FieldError
	if errors.As(err, &bad) {
		return refuse(k, bad.Path, "%s", bad.Reason)
	}
	return refuse(k, "", "%v", err)
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
