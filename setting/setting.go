// Package setting has the checked settings of the daemon.
package setting

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/goccy/go-yaml"
	"github.com/spf13/pflag"
)

// EnvironmentPrefix starts the environment variable of each flag.
const EnvironmentPrefix = "GODWITPLANK_"

// Settings are the daemon's settings once they are checked.
type Settings struct {
	VM            string
	DataCentre    string
	CallersAddr   netip.AddrPort
	OperatorsAddr netip.AddrPort
	LinkAddr      netip.AddrPort
	Join          []netip.AddrPort
	Discover      bool
	// Capacity is the VM's processor share, 0 if it is not known.
	Capacity float64
	// HubsOnly exchanges news only with VMs that have a data folder.
	HubsOnly      bool
	DataDir       string
	AddressesFile string
	OperatorToken string
	LogLevel      log.Level
	TraceFile     string
	Policy        string
	// SettingsFile holds settings that neither a flag nor a variable gives.
	SettingsFile string
	// RoutesAddr takes the requests of routes, ReadyAddr the balancer's probe and ControlAddr the announcements of the
	// endpoints of services and the operator's configuration. An empty one is not served.
	RoutesAddr  netip.AddrPort
	ReadyAddr   netip.AddrPort
	ControlAddr netip.AddrPort
	MetricsAddr netip.AddrPort
	// Bootstrap makes the first group of the VMs in Join.
	Bootstrap  bool
	SpareAfter time.Duration
	// DiskLosses is how many disks may be lost at once; 0 leaves the number of voters as it is.
	DiskLosses int
	// MemoryMB is what the process may use, 0 for no limit.
	MemoryMB int
	// StopGrace is the longest time from a signal to the end, 0 for as long as the longest deadline.
	StopGrace time.Duration
	Retry     Retry
}

// Retry bounds the repeated calls of all VMs together at each service.
type Retry struct {
	// Ratio is the share of the requests in Window that may be sent again, Slack a number on top.
	Ratio  float64
	Slack  int
	Window time.Duration
}

// flag describes one setting.
type flag struct {
	name, value, usage string
	take               func(s *Settings, value string) error
}

var flags = []flag{
	{"vm", "", "name of this VM, unique in the system", func(s *Settings, v string) error { return name(&s.VM, v) }},
	{"data_centre", "", "name of this VM's data centre", func(s *Settings, v string) error { return name(&s.DataCentre, v) }},
	{"callers_addr", "127.0.0.1:0", "ip:port for callers and endpoints; empty to take none", func(s *Settings, v string) error { return optionalAddr(&s.CallersAddr, v) }},
	{"operators_addr", "127.0.0.1:0", "ip:port for operators", func(s *Settings, v string) error { return addr(&s.OperatorsAddr, v) }},
	{"routes_addr", "", "ip:port for the requests of routes; empty to take none", func(s *Settings, v string) error { return optionalAddr(&s.RoutesAddr, v) }},
	{"ready_addr", "", "ip:port for the balancer's probe of routes_addr", func(s *Settings, v string) error { return optionalAddr(&s.ReadyAddr, v) }},
	{"control_addr", "", "ip:port for endpoints of services and the operator's configuration; empty to take none", func(s *Settings, v string) error { return optionalAddr(&s.ControlAddr, v) }},
	{"metrics_addr", "", "ip:port that serves /metrics, besides the operators' address", func(s *Settings, v string) error { return optionalAddr(&s.MetricsAddr, v) }},
	{"link_addr", "127.0.0.1:0", "ip:port for other VMs", func(s *Settings, v string) error { return addr(&s.LinkAddr, v) }},
	{"join", "", "link addresses of other VMs, ip:port,ip:port", join},
	{"join_port", "0", "port that replaces the one of each address in --join; 0 to keep them", joinPort},
	{"bootstrap", "false", "true to make the first group of the VMs in --join; --vm is then the IP of --link_addr", bootstrap},
	{"spare_after", "60s", "silence of a voter's VM after which another VM takes its place", func(s *Settings, v string) error { return span(&s.SpareAfter, v) }},
	{"disk_losses", "0", "number of disks that may be lost at once; the group grows to twice that plus one voters, 0 to keep its number", func(s *Settings, v string) error { return count(&s.DiskLosses, v) }},
	{"discover", "true", "false to link only to the addresses of --join", discover},
	{"hubs_only", "false", "true to exchange news only with VMs that have a data folder", func(s *Settings, v string) error { return boolean(&s.HubsOnly, v) }},
	{"data_dir", "", "data folder; empty on a VM without a disk", func(s *Settings, v string) error { s.DataDir = v; return nil }},
	{"addresses_file", "", "file to write the bound addresses to, as JSON", func(s *Settings, v string) error { s.AddressesFile = v; return nil }},
	{"operator_token_file", "", "file with the operator token; empty to keep the operators' address closed but for probes", token},
	{"log_level", "info", "debug, info, warn or error", level},
	{"trace_file", "", "file to write traces to", func(s *Settings, v string) error { s.TraceFile = v; return nil }},
	{"policy", "predicted", "choice of endpoints: predicted, least_in_flight, round_robin or random", policy},
	{"capacity", "0", "processor share of this VM, in cores; the VMs with the most make pieces for the others", capacity},
	{"memory_mb", "0", "memory that the process may use, in MB; 0 for no limit", func(s *Settings, v string) error { return count(&s.MemoryMB, v) }},
	{"stop_grace", "0s", "longest time from a signal to the end; 0s for the longest deadline", func(s *Settings, v string) error { return span(&s.StopGrace, v) }},
	{"retry_ratio", "0.2", "share of a service's requests that all VMs together may send again", retryRatio},
	{"retry_slack", "20", "number of requests of a service in a window that may be sent again besides retry_ratio", func(s *Settings, v string) error { return count(&s.Retry.Slack, v) }},
	{"retry_window", "10s", "length of the window of retry_ratio and retry_slack", func(s *Settings, v string) error { return span(&s.Retry.Window, v) }},
	{"settings_file", "", "YAML file with settings that neither a flag nor a variable gives; read again when it changes and on SIGHUP", func(s *Settings, v string) error { s.SettingsFile = v; return nil }},
}

// AddFlags adds a flag for each setting. A dash is accepted for an underscore.
func AddFlags(set *pflag.FlagSet) {
	set.SetNormalizeFunc(func(_ *pflag.FlagSet, name string) pflag.NormalizedName {
		return pflag.NormalizedName(strings.ReplaceAll(name, "-", "_"))
	})
	for _, f := range flags {
		set.String(f.name, f.value, f.usage+" ["+EnvironmentPrefix+strings.ToUpper(f.name)+"]")
	}
}

// Read takes flags, then environment variables, then the settings file, and checks all. Its error lists every fault.
func Read(set *pflag.FlagSet) (*Settings, error) {
	s := &Settings{}
	var faults []error
	file, err := readFile(given(set, "settings_file", nil))
	if err != nil {
		faults = append(faults, err)
	}
	for _, f := range flags {
		if err := f.take(s, given(set, f.name, file)); err != nil {
			faults = append(faults, fmt.Errorf("--%s (or %s): %w", f.name, variable(f.name), err))
		}
	}
	if s.Bootstrap && s.VM != s.LinkAddr.Addr().String() {
		faults = append(faults, fmt.Errorf("--vm: %q is not the IP of --link_addr; with --bootstrap a VM is named by it", s.VM))
	}
	return s, errors.Join(faults...)
}

func variable(name string) string {
	return EnvironmentPrefix + strings.ToUpper(name)
}

// given returns the value of a setting from the first source that has it.
func given(set *pflag.FlagSet, name string, file map[string]string) string {
	value, _ := set.GetString(name)
	if set.Changed(name) {
		return value
	}
	if env, ok := os.LookupEnv(variable(name)); ok {
		return env
	}
	if text, ok := file[name]; ok {
		return text
	}
	return value
}

// readFile reads a mapping of setting names to values.
func readFile(path string) (map[string]string, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("--settings_file: %w; give a file that can be read", err)
	}
	var raw map[string]any
	if err := yaml.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("--settings_file: %s is no YAML mapping of settings: %w", path, err)
	}
	values := make(map[string]string, len(raw))
	for name, value := range raw {
		if !known(name) {
			return nil, fmt.Errorf("--settings_file: %q is no setting; see godwitplankd run --help", name)
		}
		if value == nil {
			value = ""
		}
		values[name] = fmt.Sprint(value)
	}
	return values, nil
}

func known(name string) bool {
	for _, f := range flags {
		if f.name == name {
			return true
		}
	}
	return false
}

func name(field *string, value string) error {
	if value == "" || strings.ContainsAny(value, " ,/\t\n") {
		return fmt.Errorf("%q is no name; give one without spaces, commas and slashes", value)
	}
	*field = value
	return nil
}

func addr(field *netip.AddrPort, value string) error {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return fmt.Errorf("%q is no address; give ip:port, port 0 for any free one", value)
	}
	*field = a
	return nil
}

func optionalAddr(field *netip.AddrPort, value string) error {
	if value == "" {
		return nil
	}
	return addr(field, value)
}

func span(field *time.Duration, value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return fmt.Errorf("%q is no time span; give one such as 1.5s", value)
	}
	*field = d
	return nil
}

func count(field *int, value string) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return fmt.Errorf("%q is no number; give a whole number of 0 or more", value)
	}
	*field = n
	return nil
}

func capacity(s *Settings, value string) error {
	cores, err := strconv.ParseFloat(value, 64)
	if err != nil || cores < 0 {
		return fmt.Errorf("%q is no number of cores; give one such as 0.4", value)
	}
	s.Capacity = cores
	return nil
}

func retryRatio(s *Settings, value string) error {
	ratio, err := strconv.ParseFloat(value, 64)
	if err != nil || ratio < 0 || ratio > 1 {
		return fmt.Errorf("%q is no share; give a number from 0 to 1", value)
	}
	s.Retry.Ratio = ratio
	return nil
}

// joinPort comes after join in the list of settings.
func joinPort(s *Settings, value string) error {
	port, err := strconv.ParseUint(value, 10, 16)
	if err != nil {
		return fmt.Errorf("%q is no port; give 0 to 65535", value)
	}
	for i, a := range s.Join {
		if port != 0 {
			s.Join[i] = netip.AddrPortFrom(a.Addr(), uint16(port))
		}
	}
	return nil
}

func boolean(field *bool, value string) error {
	yes, err := strconv.ParseBool(value)
	if err != nil {
		return fmt.Errorf("%q is no choice; give true or false", value)
	}
	*field = yes
	return nil
}

func bootstrap(s *Settings, value string) error {
	return boolean(&s.Bootstrap, value)
}

func join(s *Settings, value string) error {
	for _, text := range strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' }) {
		var a netip.AddrPort
		if err := addr(&a, text); err != nil {
			return err
		}
		if a.Port() == 0 {
			return fmt.Errorf("%q has port 0; give the port that the other VM listens on", text)
		}
		s.Join = append(s.Join, a)
	}
	return nil
}

func discover(s *Settings, value string) error {
	return boolean(&s.Discover, value)
}

func token(s *Settings, value string) error {
	if value == "" {
		return nil
	}
	text, err := os.ReadFile(value)
	if err != nil {
		return fmt.Errorf("%w; give a file that can be read", err)
	}
	s.OperatorToken = strings.TrimSpace(string(text))
	if len(s.OperatorToken) < minTokenBytes {
		return fmt.Errorf("the token has under %d characters; use a longer random one", minTokenBytes)
	}
	return nil
}

// minTokenBytes is the length of the shortest operator token.
const minTokenBytes = 16

func level(s *Settings, value string) error {
	l, err := log.ParseLevel(value)
	if err != nil {
		return fmt.Errorf("%q is no level; give debug, info, warn or error", value)
	}
	s.LogLevel = l
	return nil
}
