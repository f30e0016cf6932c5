package node

import (
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

// New settings bring and take classes away; a request under way ends as it began, and the old wording passes for a
// while.
func TestRetune(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if nth == 1 {
			<-release
		}
		return served(c, r, nth)
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	early, late := r.dial(t), r.dial(t)
	early.send(view("early").text())
	wait(t, "the first at the backend", func() bool { return len(b.requests()) == 1 })
	if resp, _ := r.dial(t).ask(call{"GET", "look", "x", "", "", "50000m"}); resp.StatusCode != 400 {
		t.Errorf("a class to come: %d", resp.StatusCode)
	}
	text := strings.NewReplacer(`"view"`, `"look"`, `"name":"quote","aim_s":30,"deadline_s":60,"gain":2,"effect":"single_shot"`,
		`"name":"quote","aim_s":30,"deadline_s":60,"gain":2,"effect":"free"`, `"max_attempts":3`, `"max_attempts":1`).Replace(settingsJSON)
	set, err := wire.DecodeSettings([]byte(text))
	must(t, err)
	r.reload(Config{Discovery: r.disc.addr, Settings: set})
	for _, q := range []call{{"GET", "look", "a", "", "", "50000m"}, {"GET", "quote", "b", "", "", "50000m"}, quote("c"), view("d")} {
		if resp, _ := late.ask(q); resp.StatusCode != 200 {
			t.Errorf("%s %s just after: %d", q.method, q.class, resp.StatusCode)
		}
	}
	s := *r.set.Load()
	s.until = time.Now() // the old wording's time is over
	r.set.Store(&s)
	for _, q := range []call{quote("e"), view("f")} {
		if resp, _ := r.dial(t).ask(q); resp.StatusCode != 400 {
			t.Errorf("%s %s later: %d", q.method, q.class, resp.StatusCode)
		}
	}
	close(release)
	if resp, body := early.answer(); resp.StatusCode != 200 || body != "done early" {
		t.Errorf("the request under way: %d %q", resp.StatusCode, body)
	}
}

const goodFile = `{"name":"n7","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","mgmt":"127.0.0.1:3","seed":"1",` +
	`"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"version":1,"full":true,"servers":[]},"settings":` + settingsJSON + `}`

// A file that is broken in any way changes nothing; the error names what is wrong.
func TestBrokenFiles(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	good := goodFile
	env := map[string]string{"GW_CONFIG": path}
	getenv := func(name string) string { return env[name] }
	must(t, os.WriteFile(path, []byte(good), 0o600))
	inForce, err := Load(getenv)
	must(t, err)
	without := func(old, new string) string {
		text := strings.Replace(good, old, new, 1)
		if text == good {
			t.Fatalf("%s is not there", old)
		}
		return text
	}
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "GW_CONFIG"},
		{"cut off", good[:len(good)/2], "GW_CONFIG"},
		{"no object", "7", "GW_CONFIG"},
		{"nothing in it", "{}", "listen"},
		{"no settings", without(`"settings"`, `"sittings"`), "settings"},
		{"no limits", without(`"limits"`, `"x"`), "limits: missing"},
		{"no classes", without(`"grades"`, `"x"`), "Classes"},
		{"a class with no deadline", without(`"deadline_s":60,`, ``), "deadline_s: missing"},
		{"no attempts told", without(`"max_attempts":3,`, ``), "max_attempts: missing"},
		{"no attempts", without(`"max_attempts":3`, `"max_attempts":0`), "MaxAttempts"},
		{"a deadline of nothing", without(`"deadline_s":60`, `"deadline_s":0`), "deadline_s"},
		{"a negative deadline", without(`"deadline_s":60`, `"deadline_s":-5`), "Deadline"},
		{"a deadline in words", without(`"deadline_s":60`, `"deadline_s":"60"`), "deadline_s"},
		{"an unknown effect", without(`"effect":"free"`, `"effect":"fee"`), "effect"},
		{"no address", without(`127.0.0.1:2`, `here`), "discovery"},
	} {
		must(t, os.WriteFile(path, []byte(c.text), 0o600))
		if _, err := Reload(getenv, inForce); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want an error that names %s", c.name, err, c.want)
		}
	}
	must(t, os.WriteFile(path, []byte(without(`"name":"quote"`, `"name":"offer"`)), 0o600))
	cfg, err := Reload(getenv, inForce)
	must(t, err)
	if cfg.Settings.Policy.Classes[2].Name != "offer" || !maps.Equal(keys(cfg.file), keys(inForce.file)) {
		t.Errorf("a good file: %+v", cfg)
	}
}

func keys(m map[string]any) map[string]bool {
	set := map[string]bool{}
	for k := range m {
		set[k] = true
	}
	return set
}
