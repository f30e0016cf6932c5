package wire

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Keys are the keys of a JSON object that the protocol requires, each with the keys of the object that it holds; nil
// where it holds anything else. A name that ends in "[]" stands for a list of objects, which are told apart by their
// "name". Keys that are not named are optional or unknown to the node.
type Keys map[string]Keys

// SettingsKeys are the required keys of the settings object.
var SettingsKeys = Keys{
	"balancers": nil,
	"blend":     {"whole": nil, "worst_class": nil, "worst_tenant": nil, "worst_window": nil},
	"clients":   {"marks_retry": nil},
	"discovery": nil, "domain_type": nil, "family_info": {},
	"grades[]": {"aim_s": nil, "deadline_s": nil, "effect": nil, "gain": nil, "group": nil, "late_worth": nil, "name": nil,
		"repeat_window_s": nil, "streaming": nil},
	"host_types": nil,
	"invariants": {"answer_slack_s": nil, "cold_s": nil, "cold_share": nil, "drain_grace_s": nil, "fall_s": nil,
		"must_ask_in_s": nil, "overload_factor": nil},
	"ordinal": nil, "over_share_worth": nil,
	"policy_limits": {"cancel": nil, "conn_idle_s": nil, "connect_timeout_s": nil, "cpu_us_per_request": nil,
		"cpu_us_per_s": nil, "max_attempts": nil, "max_open": nil, "max_retry_after_s": nil, "parallel_tries": nil, "peers": nil,
		"probes": nil, "retry_after": nil, "streams_per_conn": nil},
	"projects[]": {"name": nil, "quota_per_s": nil, "share": nil},
	"quantum_s":  nil,
	"report":     {"how": nil, "names": nil},
	"stage":      nil,
	"tariffs": {"connection": nil, "cross_zone": nil, "discovery": nil, "fleet": nil, "handshake": nil, "late_fail": nil,
		"moves": nil, "origin": nil, "peer": nil, "probe": nil, "waste": nil},
	"tiers": nil, "weights": nil, "worth_by": nil, "zone": nil, "zones": nil,
}

// KeyError reports a required key that is missing or has a value of another type than before.
type KeyError struct {
	Path    string // names of the keys, from the outermost object on
	Missing bool
}

// Error returns the path and what is wrong.
func (e *KeyError) Error() string {
	if e.Missing {
		return e.Path + ": missing"
	}
	return e.Path + ": its type differs from that in force"
}

// CheckReplacement returns a *KeyError for the first required key that old has and new, the object that is to replace
// it, lacks or has with another type. An element of a list of objects replaces that of the same name; a new element
// needs the keys that all elements of the old list have.
func (k Keys) CheckReplacement(old, new map[string]any) error {
	return k.check("", []map[string]any{old}, new)
}

// check checks an object that replaces the given ones, where a key is needed if all of them have it.
func (k Keys) check(path string, old []map[string]any, new map[string]any) error {
	for _, key := range slices.Sorted(maps.Keys(k)) {
		name, isList := strings.CutSuffix(key, "[]")
		replaced, needed := valuesOf(old, name)
		if !needed {
			continue
		}
		if err := k[key].checkValue(join(path, name), isList, replaced, new[name]); err != nil {
			return err
		}
	}
	return nil
}

// checkValue checks the value of a key that replaces the given values.
func (k Keys) checkValue(path string, isList bool, old []any, new any) error {
	if new == nil {
		return &KeyError{path, true}
	}
	if len(old) > 0 && reflect.TypeOf(old[0]) != reflect.TypeOf(new) {
		return &KeyError{path, false}
	}
	if isList {
		return k.checkList(path, old, new)
	}
	object, isObject := new.(map[string]any)
	if !isObject {
		return nil
	}
	return k.check(path, objectsOf(old), object)
}

// checkList checks the elements of a list of objects that replaces the given lists.
func (k Keys) checkList(path string, old []any, new any) error {
	var replaced []map[string]any
	for _, list := range old {
		elements, _ := list.([]any)
		replaced = append(replaced, objectsOf(elements)...)
	}
	elements, _ := new.([]any)
	for i, element := range elements {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		object, isObject := element.(map[string]any)
		if !isObject {
			return &KeyError{elementPath, element == nil}
		}
		counterparts := replaced
		if same := slices.IndexFunc(replaced, func(o map[string]any) bool { return nameOf(o) == nameOf(object) }); same >= 0 {
			counterparts = replaced[same : same+1]
		}
		if err := k.check(elementPath, counterparts, object); err != nil {
			return err
		}
	}
	return nil
}

// nameOf returns the name of an element of a list; empty if it has none.
func nameOf(object map[string]any) string {
	name, _ := object["name"].(string)
	return name
}

// valuesOf returns the values that objects have under a name, and whether all of them have one.
func valuesOf(objects []map[string]any, name string) (values []any, all bool) {
	for _, object := range objects {
		value := object[name]
		if value == nil {
			return nil, false
		}
		values = append(values, value)
	}
	return values, true
}

// objectsOf returns those values that are objects.
func objectsOf(values []any) (objects []map[string]any) {
	for _, value := range values {
		if object, isObject := value.(map[string]any); isObject {
			objects = append(objects, object)
		}
	}
	return objects
}

// join returns the path of a key in the object at a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
