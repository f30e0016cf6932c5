package node

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"portstall/internal/wire"
)

// A reload brings and removes classes. A request in flight ends as it began, and for a while requests that fit the
// previous settings are accepted too.
func TestSettingsReloadKeepsRequestsInFlight(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server := newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
		if nth == 1 {
			<-release
		}
		return respondOK(c, r, nth)
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	early, late := node.dial(t), node.dial(t)
	early.send(view("early").text())
	waitFor(t, "the first request at the web server", func() bool { return len(server.requests()) == 1 })
	if resp, _ := node.dial(t).roundTrip(testRequest{"GET", "look", "x", "", "", "50000m"}); resp.StatusCode != 400 {
		t.Errorf("a class that is not known yet: %d", resp.StatusCode)
	}
	text := strings.NewReplacer(`"view"`, `"look"`, `"name":"quote","aim_s":30,"deadline_s":60,"gain":2,"effect":"single_shot"`,
		`"name":"quote","aim_s":30,"deadline_s":60,"gain":2,"effect":"free"`, `"max_attempts":3`, `"max_attempts":1`).Replace(settingsJSON)
	set, err := wire.DecodeSettings([]byte(text))
	must(t, err)
	node.reload(Config{Discovery: node.discovery.client.Addr(), Settings: set})
	for _, request := range []testRequest{{"GET", "look", "a", "", "", "50000m"}, {"GET", "quote", "b", "", "", "50000m"}, quote("c"), view("d")} {
		if resp, _ := late.roundTrip(request); resp.StatusCode != 200 {
			t.Errorf("%s %s just after the reload: %d", request.method, request.class, resp.StatusCode)
		}
	}
	current := *node.settings.Load()
	current.previous[0].until = time.Now() // the previous settings no longer apply
	node.settings.Store(&current)
	for _, request := range []testRequest{quote("e"), view("f")} {
		if resp, _ := node.dial(t).roundTrip(request); resp.StatusCode != 400 {
			t.Errorf("%s %s later: %d", request.method, request.class, resp.StatusCode)
		}
	}
	close(release)
	if resp, body := early.readResponse(); resp.StatusCode != 200 || body != "done early" {
		t.Errorf("the request in flight: %d %q", resp.StatusCode, body)
	}
}

// validConfigJSON is a complete configuration file.
const validConfigJSON = `{"name":"n7","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","mgmt":"127.0.0.1:3","seed":"1",` +
	`"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"version":1,"full":true,"servers":[]},"settings":` + settingsJSON + `}`

// A broken file changes nothing at a reload, and the error names what is wrong.
func TestInvalidFileIsRejected(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	good := validConfigJSON
	env := map[string]string{"GW_CONFIG": path}
	getenv := func(name string) string { return env[name] }
	must(t, os.WriteFile(path, []byte(good), 0o600))
	inForce, err := Load(getenv)
	must(t, err)
	replaceText := func(old, new string) string { return changedConfig(t, []string{old, new}) }
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "GW_CONFIG"},
		{"cut off", good[:len(good)/2], "GW_CONFIG"},
		{"not an object", "7", "GW_CONFIG"},
		{"an empty object", "{}", "listen"},
		{"no settings", replaceText(`"settings"`, `"sittings"`), "settings"},
		{"no limits", replaceText(`"limits"`, `"x"`), "limits: missing"},
		{"no classes", replaceText(`"grades"`, `"x"`), "Classes"},
		{"a class without a deadline", replaceText(`"deadline_s":60,`, ``), "deadline_s: missing"},
		{"a missing number of attempts", replaceText(`"max_attempts":3,`, ``), "max_attempts: missing"},
		{"no attempts", replaceText(`"max_attempts":3`, `"max_attempts":0`), "MaxAttempts"},
		{"a deadline of zero", replaceText(`"deadline_s":60`, `"deadline_s":0`), "deadline_s"},
		{"a negative deadline", replaceText(`"deadline_s":60`, `"deadline_s":-5`), "Deadline"},
		{"a deadline as a string", replaceText(`"deadline_s":60`, `"deadline_s":"60"`), "deadline_s"},
		{"an unknown effect", replaceText(`"effect":"free"`, `"effect":"fee"`), "effect"},
		{"no address", replaceText(`127.0.0.1:2`, `here`), "discovery"},
	} {
		must(t, os.WriteFile(path, []byte(c.text), 0o600))
		if _, err := Reload(getenv, inForce); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want an error that names %s", c.name, err, c.want)
		}
	}
	must(t, os.WriteFile(path, []byte(replaceText(`"name":"quote"`, `"name":"offer"`)), 0o600))
	cfg, err := Reload(getenv, inForce)
	must(t, err)
	if cfg.Settings.Policy.Classes[2].Name != "offer" || !maps.Equal(keySet(cfg.rawFile), keySet(inForce.rawFile)) {
		t.Errorf("a valid file: %+v", cfg)
	}
}

// changedConfig returns validConfigJSON with changes: old and new text in turn.
func changedConfig(t *testing.T, changes []string) string {
	t.Helper()
	text := validConfigJSON
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			t.Fatalf("%s is not in the file", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	return text
}

// Files that the protocol allows replace one another, whatever optional or unknown keys they have, and with or without
// control; broken ones change nothing. The check before a reload gives the same verdict as the reload.
func TestReplacementFollowsProtocol(t *testing.T) {
	t.Parallel()
	const search, save = `{"name":"view","aim_s":30`, `{"name":"save","aim_s":30`
	const stretched = `{"aim_stretch":2,"name":"view","aim_s":30`
	for name, c := range map[string]struct {
		old, new []string // old text and new text in turn
		want     string   // text in the error; empty: none
	}{
		"an optional key of the first class alone": {[]string{search, stretched}, []string{search, stretched}, ""},
		"an optional key goes":                     {[]string{search, stretched}, nil, ""},
		"an optional key comes":                    {nil, []string{search, stretched}, ""},
		"a class goes":                             {nil, []string{` {"name":"save","aim_s":30,"deadline_s":60,"gain":10,"effect":"guarded","group":"zone","repeat_window_s":30},`, ``}, ""},
		"a class comes":                            {nil, []string{save, `{"name":"store","aim_s":30,"deadline_s":60,"gain":1,"effect":"free","group":"all"},` + save}, ""},
		"unknown keys come":                        {nil, []string{`"name":"n7"`, `"name":"n7","x":1`, `"cores":1`, `"cores":1,"x":2`, `"report":{`, `"report":{"x":{},`}, ""},
		"unknown keys go":                          {[]string{`"name":"n7"`, `"name":"n7","x":1`, `"cores":1`, `"cores":1,"x":2`, `"report":{`, `"report":{"x":{},`}, nil, ""},
		"no list of known servers":                 {nil, []string{`"known":{"version":1,"full":true,"servers":[]},`, ``}, ""},
		"a new class without a deadline":           {nil, []string{save, `{"name":"store","aim_s":30,"gain":1,"effect":"free","group":"all"},` + save}, "settings.grades[1].deadline_s: missing"},
		"a misspelled key":                         {nil, []string{`"max_attempts"`, `"most_attempts"`}, "max_attempts: missing"},
		"attempts that are null":                   {nil, []string{`"max_attempts":3`, `"max_attempts":null`}, "max_attempts: missing"},
		"a key that the node does not use":         {nil, []string{`"names":["concurrent","depth"]`, `"x":1`}, "settings.report.names: missing"},
		"one of another type":                      {nil, []string{`"names":["concurrent","depth"]`, `"names":"depth"`}, "settings.report.names: its type"},
		"a limit of another type":                  {nil, []string{`"limits":{"cores":1,"memory_mb":64,"sockets":256}`, `"limits":null`}, "limits: missing"},
	} {
		for _, product := range []string{"", "control: {addresses: [\"127.0.0.1:9\"]}\n"} {
			t.Run(fmt.Sprintf("%s, product's file %q", name, product), func(t *testing.T) {
				t.Parallel()
				folder := t.TempDir()
				environment := func(name, text string) func(string) string {
					env := map[string]string{"GW_CONFIG": filepath.Join(folder, name)}
					must(t, os.WriteFile(env["GW_CONFIG"], []byte(text), 0o600))
					if product != "" {
						env["PORTSTALL_FILE"] = filepath.Join(folder, "product.yaml")
						must(t, os.WriteFile(env["PORTSTALL_FILE"], []byte(product), 0o600))
					}
					return func(name string) string { return env[name] }
				}
				current, next := environment("old.json", changedConfig(t, c.old)), environment("new.json", changedConfig(t, c.new))
				inForce, err := Load(current)
				must(t, err)
				_, reloadErr := Reload(next, inForce)
				for call, err := range map[string]error{"reload": reloadErr, "check": CheckReplacement(current, next)} {
					if (err != nil) != (c.want != "") || err != nil && !strings.Contains(err.Error(), c.want) {
						t.Errorf("%s: %v, want %q", call, err, c.want)
					}
				}
			})
		}
	}
}

// keySet returns the keys of m.
func keySet(m map[string]any) map[string]bool {
	set := map[string]bool{}
	for k := range m {
		set[k] = true
	}
	return set
}
