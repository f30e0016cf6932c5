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

// decode reads a spec strictly.
func decode(r *resource.Resource, into any) error {
	d := json.NewDecoder(bytes.NewReader(r.Spec))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if len(bytes.TrimSpace(r.Spec[d.InputOffset():])) > 0 {
			return refuse(r.Key, "", "has something behind its spec")
		}
		return nil
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		if plain, e := strconv.Unquote(name); e == nil {
			name = plain
		}
		return refuse(r.Key, name, "is no field of a %s", r.Kind)
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return refuse(r.Key, wrong.Field, "is a %s, want %s", wrong.Value, wrong.Type)
	}
	return refuse(r.Key, "", "%v", err)
}

// refuse makes a refusal.
func refuse(k resource.Key, field, why string, args ...any) error {
	return &resource.Refusal{Key: k, Field: field, Why: fmt.Sprintf(why, args...)}
}

// refusal makes one of what is wrong by itself.
func refusalOf(k resource.Key, err error) error {
	var bad *config.FieldError
	if errors.As(err, &bad) {
		return refuse(k, bad.Path, "%s", bad.Why)
	}
	return refuse(k, "", "%v", err)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
