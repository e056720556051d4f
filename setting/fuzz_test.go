package setting

import (
	"math"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/spf13/pflag"
)

// Any settings file is refused, or its numbers and times are finite and not negative.
func FuzzRead(f *testing.F) {
	f.Add([]byte("vm: vm-a\ndata_centre: dc-a\nlink_addr: 127.0.0.1:7740\nmemory_mb: \"144.5\"\nretry_budget_ratio: 1e-3\n"))
	f.Add([]byte("join: {\"127.0.0.1:1\": ~}\nstop_grace: 1e300s\nmax_fds: -1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		set := pflag.NewFlagSet("run", pflag.ContinueOnError)
		AddFlags(set)
		if err := set.Set("settings_file", path); err != nil {
			t.Fatal(err)
		}
		s, err := Read(set)
		if err != nil {
			return
		}
		checkNumbers(t, reflect.ValueOf(*s))
	})
}

// checkNumbers checks all numbers of a struct.
func checkNumbers(t *testing.T, v reflect.Value) {
	for i := range v.NumField() {
		field, name := v.Field(i), v.Type().Field(i).Name
		if !v.Type().Field(i).IsExported() {
			continue
		}
		switch x := field.Interface().(type) {
		case time.Duration:
			if x < 0 {
				t.Fatalf("%s is %v", name, x)
			}
		case float64:
			if x < 0 || math.IsNaN(x) || math.IsInf(x, 0) {
				t.Fatalf("%s is %v", name, x)
			}
		case int:
			if x < 0 {
				t.Fatalf("%s is %d", name, x)
			}
		}
	}
}
