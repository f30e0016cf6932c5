package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// fullSettings is a settings object with all required keys and no others.
const fullSettings = `{"balancers":2,"blend":{"whole":0.45,"worst_class":0.4,"worst_tenant":0.1,"worst_window":0.05},
"clients":{"marks_retry":true},"discovery":"ask","domain_type":"proxy","family_info":{},
"grades":[{"aim_s":1,"deadline_s":3,"effect":"free","gain":2,"group":"all","late_worth":0,"name":"search","repeat_window_s":5,"streaming":false},
{"aim_s":1,"deadline_s":6,"effect":"guarded","gain":8,"group":"cell","late_worth":0,"name":"accept","repeat_window_s":12,"streaming":false}],
"host_types":["std"],"invariants":{"answer_slack_s":0.02,"cold_s":8,"cold_share":0.3,"drain_grace_s":1,"fall_s":1.5,"must_ask_in_s":10,"overload_factor":2.5},
"ordinal":0,"over_share_worth":0.2,"policy_limits":{"cancel":true,"conn_idle_s":10,"connect_timeout_s":0.25,"cpu_us_per_request":0,"cpu_us_per_s":8000,
"max_attempts":6,"max_open":20000,"max_retry_after_s":2,"parallel_tries":false,"peers":false,"probes":true,"retry_after":false,"streams_per_conn":1},
"projects":[{"name":"gulf","quota_per_s":108,"share":0.7},{"name":"central","quota_per_s":22,"share":0.3}],"quantum_s":0.005,
"report":{"how":"piggyback","names":["depth"]},"stage":0,
"tariffs":{"connection":0,"cross_zone":0,"discovery":0.02,"fleet":0,"handshake":0.02,"late_fail":0.05,"moves":0,"origin":0,"peer":0,"probe":0.01,"waste":0.04},
"tiers":["web"],"weights":"nominal","worth_by":"work","zone":"a","zones":["a"]}`

// parse returns a JSON object, after replacing each old text by the new one that follows it.
func parse(t *testing.T, text string, replace ...string) (object map[string]any) {
	t.Helper()
	changed := strings.NewReplacer(replace...).Replace(text)
	if len(replace) > 0 && changed == text {
		t.Fatalf("%q is not in the settings", replace)
	}
	if err := json.Unmarshal([]byte(changed), &object); err != nil {
		t.Fatal(err)
	}
	return object
}

// forEachKey calls f for each key of an object and of all objects in it, with the key's path.
func forEachKey(path string, object map[string]any, f func(path string, object map[string]any, name string)) {
	for name, value := range object {
		keyPath := join(path, name)
		switch value := value.(type) {
		case map[string]any:
			forEachKey(keyPath, value, f)
		case []any:
			for i, element := range value {
				if element, isObject := element.(map[string]any); isObject {
					forEachKey(fmt.Sprintf("%s[%d]", keyPath, i), element, f)
				}
			}
		}
		f(keyPath, object, name)
	}
}

// A required key that is missing, null or of another type than before is refused with its path, wherever it is.
func TestEveryRequiredKeyIsChecked(t *testing.T) {
	old, checked := parse(t, fullSettings), 0
	settings := parse(t, fullSettings)
	forEachKey("", settings, func(path string, object map[string]any, name string) {
		value := object[name]
		defer func() { object[name] = value }()
		otherType := any([]any{map[string]any{}})
		if _, isList := value.([]any); isList {
			otherType = 7.0
		}
		for _, c := range []struct {
			missing bool
			change  func()
		}{
			{true, func() { delete(object, name) }},
			{true, func() { object[name] = nil }},
			{false, func() { object[name] = otherType }},
		} {
			c.change()
			checked++
			var keyError *KeyError
			if err := SettingsKeys.CheckReplacement(old, settings); !errors.As(err, &keyError) || *keyError != (KeyError{path, c.missing}) {
				t.Errorf("%s: %v, want an error with this path, missing %v", path, err, c.missing)
			}
		}
	})
	if required := 3 * 84; checked != required {
		t.Errorf("%d checks, want %d: each key of the settings in three ways", checked, required)
	}
	if err := SettingsKeys.CheckReplacement(old, settings); err != nil {
		t.Errorf("the same settings: %v", err)
	}
}

// Optional and unknown keys come and go at any depth, in some elements of a list and not in others; so do classes and
// tenants. What a file in force does not have is not asked of the next.
func TestReplacementWithinTheProtocol(t *testing.T) {
	const accept, tenant = `{"aim_s":1,"deadline_s":6,"effect":"guarded"`, `{"name":"gulf"`
	for name, c := range map[string]struct {
		old, new []string // old text and new text in turn
		want     string   // the path in the error; empty: none
	}{
		"the first class alone has an optional key":     {[]string{`"name":"search"`, `"name":"search","aim_stretch":2`}, []string{`"name":"search"`, `"name":"search","aim_stretch":2`}, ""},
		"an optional key goes":                          {[]string{`"name":"search"`, `"name":"search","aim_stretch":2`}, nil, ""},
		"an optional key comes":                         {nil, []string{`"name":"accept"`, `"name":"accept","aim_stretch":2`}, ""},
		"an optional key moves to another class":        {[]string{`"name":"search"`, `"name":"search","aim_stretch":2`}, []string{`"name":"accept"`, `"name":"accept","aim_stretch":2`}, ""},
		"an optional key changes its type":              {[]string{`"name":"search"`, `"name":"search","aim_stretch":2`}, []string{`"name":"search"`, `"name":"search","aim_stretch":null`}, ""},
		"optional keys deeper go":                       {[]string{`"family_info":{}`, `"family_info":{"warm_keys":true,"passes_deadline":true}`}, nil, ""},
		"optional keys deeper come":                     {nil, []string{`"family_info":{}`, `"family_info":{"warm_keys":true,"passes_deadline":true}`}, ""},
		"unknown keys go":                               {[]string{`"ordinal":0`, `"ordinal":0,"x":{"y":1}`, `"whole":0.45`, `"whole":0.45,"x":1`, tenant, tenant + `,"x":[1]`}, nil, ""},
		"unknown keys come":                             {nil, []string{`"ordinal":0`, `"ordinal":0,"x":{"y":1}`, `"whole":0.45`, `"whole":0.45,"x":1`, tenant, tenant + `,"x":[1]`}, ""},
		"an unknown key changes its type":               {[]string{`"ordinal":0`, `"ordinal":0,"x":1`}, []string{`"ordinal":0`, `"ordinal":0,"x":[]`}, ""},
		"a class of another name":                       {nil, []string{`"name":"accept"`, `"name":"enrol"`}, ""},
		"classes change their order":                    {nil, []string{`"name":"accept"`, `"name":"search"`, `"name":"search"`, `"name":"accept"`}, ""},
		"a new class lacks a required key":              {nil, []string{`"deadline_s":6,`, ``, `"name":"accept"`, `"name":"enrol"`}, "grades[1].deadline_s"},
		"a class lacks a required key that another has": {nil, []string{`"deadline_s":6,`, ``}, "grades[1].deadline_s"},
		"a class has lacked a required key before":      {[]string{`"gain":8,`, ``}, []string{`"gain":8,`, ``}, ""},
		"a class has it, another has lacked it":         {[]string{`"gain":8,`, ``}, []string{`"gain":2,`, ``}, "grades[0].gain"},
		"a new class lacks what not all classes have":   {[]string{`"gain":8,`, ``}, []string{`"gain":8,`, ``, `"name":"accept"`, `"name":"enrol"`}, ""},
		"a required key comes":                          {[]string{`"gain":8,`, ``, `"stage":0,`, ``, `"how":"piggyback",`, ``}, nil, ""},
		"required keys that were never there":           {[]string{`"stage":0,`, ``, `"whole":0.45,`, ``}, []string{`"stage":0,`, ``, `"whole":0.45,`, ``}, ""},
		"all tenants go":                                {nil, []string{`{"name":"gulf","quota_per_s":108,"share":0.7},{"name":"central","quota_per_s":22,"share":0.3}`, ``}, ""},
		"tenants come":                                  {[]string{`{"name":"gulf","quota_per_s":108,"share":0.7},{"name":"central","quota_per_s":22,"share":0.3}`, ``}, nil, ""},
		"the first tenant lacks a required key":         {[]string{`{"name":"gulf","quota_per_s":108,"share":0.7},{"name":"central","quota_per_s":22,"share":0.3}`, ``}, []string{`"quota_per_s":108,`, ``}, "projects[0].quota_per_s"},
		"a class without a name":                        {nil, []string{`"name":"accept",`, ``}, "grades[1].name"},
		"a class that is null":                          {nil, []string{accept, `null,` + accept}, "grades[1]"},
		"a class that is no object":                     {nil, []string{accept, `7,` + accept}, "grades[1]"},
		"a required object loses all its keys":          {nil, []string{`"report":{"how":"piggyback","names":["depth"]}`, `"report":{}`}, "report.how"},
	} {
		t.Run(name, func(t *testing.T) {
			err := SettingsKeys.CheckReplacement(parse(t, fullSettings, c.old...), parse(t, fullSettings, c.new...))
			var keyError *KeyError
			if errors.As(err, &keyError); (err != nil) != (c.want != "") || keyError != nil && keyError.Path != c.want {
				t.Errorf("%v, want an error about %q", err, c.want)
			}
		})
	}
}
