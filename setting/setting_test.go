package setting

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/spf13/pflag"
)

func read(t *testing.T, args ...string) (*Settings, error) {
	t.Helper()
	set := pflag.NewFlagSet("run", pflag.ContinueOnError)
	AddFlags(set)
	if err := set.Parse(args); err != nil {
		t.Fatal(err)
	}
	return Read(set)
}

func tokenFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Flags take precedence over environment variables, and their names may be written with dashes.
func TestSources(t *testing.T) {
	is := is.New(t)
	t.Setenv("GODWITPLANK_VM", "from-environment")
	t.Setenv("GODWITPLANK_DATA_CENTRE", "dc-a")
	file := tokenFile(t, "a-token-of-some-length\n")
	s, err := read(t, "--vm", "from-flag", "--operator-token-file", file, "--join", "127.0.0.1:7301,127.0.0.1:7302")
	is.NoErr(err)
	is.Equal(s.VM, "from-flag")
	is.Equal(s.DataCentre, "dc-a")
	is.Equal(s.OperatorToken, "a-token-of-some-length")
	is.Equal(len(s.Join), 2)
	is.True(s.Discover)
}

// A VM whose names are not UTF-8 could not describe itself to the others.
func TestNameThatIsNotUTF8(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"vm", "data_centre"} {
		_, err := read(t, "--"+name, "a\xff")
		is.True(err != nil && strings.Contains(err.Error(), `"a\xff" is not a valid name`))
		_, err = read(t, "--"+name, "zürich")
		is.True(err == nil || !strings.Contains(err.Error(), `"zürich"`))
	}
}

// The error lists every invalid setting with its flag, its environment variable and a remedy.
func TestInvalidSettings(t *testing.T) {
	is := is.New(t)
	_, err := read(t,
		"--vm", "a b", "--callers_addr", "nowhere", "--join", "127.0.0.1:0", "--log_level", "loud",
		"--operator_token_file", tokenFile(t, "short"), "--policy", "best", "--overload_policy", "refuse", "--discover", "perhaps")
	for _, want := range []string{
		`--vm (or GODWITPLANK_VM): "a b" is not a valid name`,
		`--data_centre (or GODWITPLANK_DATA_CENTRE): "" is not a valid name`,
		`--callers_addr (or GODWITPLANK_CALLERS_ADDR): "nowhere" is not a valid address; use ip:port`,
		`--join (or GODWITPLANK_JOIN): "127.0.0.1:0" has port 0`,
		`--log_level (or GODWITPLANK_LOG_LEVEL): "loud" is not a log level; use debug`,
		`--operator_token_file (or GODWITPLANK_OPERATOR_TOKEN_FILE): the token has fewer than 16 characters`,
		`--overload_policy (or GODWITPLANK_OVERLOAD_POLICY): "refuse" is not a policy for overload; use one of defer, refuse_late, least_cost`,
		`--policy (or GODWITPLANK_POLICY): "best" is not a policy; use one of least_in_flight, predicted`,
		`--discover (or GODWITPLANK_DISCOVER): "perhaps" is not a valid boolean`,
	} {
		is.True(strings.Contains(err.Error(), want))
	}
}

// A settings file sets what neither a flag nor an environment variable sets; unknown names are rejected.
func TestSettingsFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write("vm: \"10.0.0.1\"\ndata_centre: dc-a\nlink_addr: \"10.0.0.1:7740\"\njoin: \"10.0.0.1:1,10.0.0.2:1\"\njoin_port: \"7740\"\nbootstrap: \"true\"\ncallers_addr: \"\"\nretry_ratio: \"0.3\"\nstop_grace: 8s\n")
	s, err := read(t, "--settings_file", path, "--data_centre", "dc-b")
	is.NoErr(err)
	is.Equal(s.DataCentre, "dc-b")
	is.Equal(s.Join[1].String(), "10.0.0.2:7740")
	is.True(s.Bootstrap)
	is.True(!s.CallersAddr.IsValid())
	is.Equal(s.Retry.Ratio, 0.3)
	is.Equal(s.StopGrace.Seconds(), 8.0)

	for text, want := range map[string]string{
		"vm: a\ndata_centre: b\nshoe_size: 9\n": `"shoe_size" is not a setting`,
		"- a\n":                                 "is not a YAML mapping",
		"vm: a\ndata_centre: b\nretry_ratio: all\n":  `"all" is not a valid number`,
		"vm: a\ndata_centre: b\nstop_grace: soon\n":  `"soon" is not a valid duration`,
		"vm: a\ndata_centre: b\nbootstrap: true\n":   "is not the IP of --link_addr",
		"vm: a\ndata_centre: b\njoin_port: 99999\n":  `"99999" is not a valid port`,
		"vm: a\ndata_centre: b\nretry_slack: many\n": `"many" is not a valid number`,
	} {
		write(text)
		_, err := read(t, "--settings_file", path)
		is.True(err != nil && strings.Contains(err.Error(), want))
	}
	_, err = read(t, "--settings_file", path+".none")
	is.True(err != nil && strings.Contains(err.Error(), "give a file that can be read"))
}

// The platform may give any number of 0 or more where its pages name a value: fractions, exponents, 0 and very large
// numbers. Every setting of the templates in deploy/ that takes a number accepts them.
func TestNumbers(t *testing.T) {
	for _, value := range []string{"0", "1", "33.05263157894737", "6.28e2", "1e-3", "1e300"} {
		for _, name := range []string{"capacity", "memory_mb", "max_fds", "disk_losses", "retry_ratio", "retry_slack", "cold_excess", "cold_slack"} {
			_, err := read(t, "--vm", "a", "--data_centre", "d", "--"+name, value)
			if err != nil {
				t.Errorf("--%s %s: %v", name, value, err)
			}
		}
		for _, name := range []string{"stop_grace", "retry_window", "spare_after"} {
			if _, err := read(t, "--vm", "a", "--data_centre", "d", "--"+name, value+"s"); err != nil {
				t.Errorf("--%s %ss: %v", name, value, err)
			}
		}
	}
	for _, value := range []string{"-1", "NaN", "Inf", "many", ""} {
		for _, name := range []string{"memory_mb", "retry_slack"} {
			if _, err := read(t, "--vm", "a", "--data_centre", "d", "--"+name, value); err == nil {
				t.Errorf("--%s %q was accepted", name, value)
			}
		}
	}
	is := is.New(t)
	s, err := read(t, "--vm", "a", "--data_centre", "d", "--retry_slack", "33.05", "--memory_mb", "6.28e2", "--retry_window", "0s")
	is.NoErr(err)
	is.Equal(s.Retry.Slack, 33.05)
	is.Equal(s.Cold, Cold{Excess: 1})
	is.Equal(s.MemoryMB, 628)
	is.Equal(s.Retry.Window, minRetryWindow)
	is.Equal(len(s.Warnings), 1)
	// A share above 1 is replaced with a warning: the platform gives the value, and a VM that does not start serves nothing.
	s, err = read(t, "--vm", "a", "--data_centre", "d", "--retry_ratio", "2")
	is.NoErr(err)
	is.Equal(s.Retry.Ratio, 1.0)
	is.Equal(s.Warnings, []string{"--retry_ratio: 2 is more than 1; 1 is used"})
}

// The platform gives the list of data centres. A name that cannot be used must not keep a VM from starting.
func TestDataCentres(t *testing.T) {
	is := is.New(t)
	s, err := read(t, "--vm", "a", "--data_centre", "d")
	is.NoErr(err)
	is.Equal(len(s.DataCentres), 0)
	s, err = read(t, "--vm", "a", "--data_centre", "d", "--data_centres", "dc-b, dc-a,,dc-a,a/b,")
	is.NoErr(err)
	is.Equal(s.DataCentres, []string{"dc-a", "dc-b"})
	is.Equal(len(s.Warnings), 1)
}

// The platform gives the data centres as a mapping to their regions, or nothing; a VM must start with either.
func TestDataCentresOfMapping(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string][]string{
		`data_centres: {"dc-b":"r","dc-a":"r"}`: {"dc-a", "dc-b"},
		`data_centres: `:                        nil,
	} {
		file := filepath.Join(t.TempDir(), "settings.yaml")
		is.NoErr(os.WriteFile(file, []byte("vm: a\ndata_centre: d\n"+text+"\n"), 0o600))
		s, err := read(t, "--settings_file", file)
		is.NoErr(err)
		is.Equal(s.DataCentres, want)
	}
}

// A deployment without cold endpoints and evacuations renders empty values; its VMs must start, and not wait for evacuations.
func TestEmptyBounds(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(file, []byte("vm: a\ndata_centre: d\ncold_excess: \"\"\ncold_slack: \"\"\nevacuate_within_ms: \"\"\nmax_fds: \"\"\n"), 0o600))
	s, err := read(t, "--settings_file", file)
	is.NoErr(err)
	is.Equal(s.Cold.Excess, 1.0)
	is.Equal(s.Cold.Slack, 0.0)
	is.Equal(s.EvacuateWithin, time.Duration(0))
	s, err = read(t, "--vm", "a", "--data_centre", "d")
	is.NoErr(err)
	is.Equal(s.EvacuateWithin, 5*time.Second)
}
