package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A file cut off at any byte is refused at a start and at a reload, and so is one whose figures are out of range; each error
// names the file or the field.
func TestHalfWrittenFiles(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	good := `{"name":"n7","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","mgmt":"127.0.0.1:3","seed":"1",` +
		`"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"version":1,"full":true,"servers":[]},"settings":` +
		strings.Replace(settingsJSON, `"report"`, `"projects":[{"name":"a","quota_per_s":5},{"name":"b","quota_per_s":5}],"report"`, 1) + `}`
	getenv := func(name string) string { return map[string]string{"GW_CONFIG": path}[name] }
	must(t, os.WriteFile(path, []byte(good), 0o600))
	inForce, err := Load(getenv)
	must(t, err)
	for i := range good {
		must(t, os.WriteFile(path, []byte(good[:i]), 0o600))
		_, first := Load(getenv)
		_, second := Reload(getenv, inForce)
		for _, err := range []error{first, second} {
			if err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
				t.Fatalf("the first %d bytes: %v", i, err)
			}
		}
	}
	for _, c := range []struct{ old, new, want string }{
		{`"cores":1`, `"cores":1e300`, "limits.cores"},
		{`"memory_mb":64`, `"memory_mb":100000000000`, "limits.memory_mb"},
		{`"sockets":256`, `"sockets":9000000000000000000`, "limits.sockets"},
		{`"sockets":256`, `"sockets":1e300`, "sockets"},
		{`"cold_s":8`, `"cold_s":1e300`, "cold_s"},
		{`"drain_grace_s":2`, `"drain_grace_s":1e19`, "drain_grace_s"},
		{`"drain_grace_s":2`, `"drain_grace_s":-2`, "DrainGrace"},
		{`"cold_share":0.3`, `"cold_share":1.5`, "ColdShare"},
		{`"cold_share":0.3`, `"cold_share":-1`, "ColdShare"},
		{`"overload_factor":4`, `"overload_factor":-4`, "FallFactor"},
		{`"overload_factor":4`, `"overload_factor":NaN`, "GW_CONFIG"},
		{`"max_retry_after_s":2`, `"max_retry_after_s":-2`, "RetryAfter"},
		{`"balancers":1`, `"balancers":0`, "Nodes"},
		{`"name":"save"`, `"name":"view"`, "Classes[1].Name"},
		{`"name":"b"`, `"name":"a"`, "Tenants[1].Name"},
		{`"quota_per_s":5`, `"quota_per_s":-5`, "QuotaPerS"},
		{`"discovery":"push"`, `"discovery":"pull"`, "discovery"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("%s is not there", c.old)
		}
		must(t, os.WriteFile(path, []byte(text), 0o600))
		_, first := Load(getenv)
		_, second := Reload(getenv, inForce)
		for _, err := range []error{first, second} {
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s: %v, want an error that names %s", c.new, err, c.want)
			}
		}
	}
}
