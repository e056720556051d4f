// Package setting reads and validates the settings of the daemon.
package setting

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/charmbracelet/log"
	"github.com/goccy/go-yaml"
	"github.com/spf13/pflag"
)

// EnvironmentPrefix is the prefix of the environment variable of each setting.
const EnvironmentPrefix = "GODWITPLANK_"

// Settings are the validated settings of the daemon.
type Settings struct {
	VM         string
	DataCentre string
	// DataCentres names the data centres of the deployment; empty if they are not known.
	DataCentres []string
	// EvacuateWithin is the time in which an evacuation has to take effect; 0 if the deployment evacuates no data centres.
	EvacuateWithin time.Duration
	CallersAddr    netip.AddrPort
	OperatorsAddr  netip.AddrPort
	LinkAddr       netip.AddrPort
	Join           []netip.AddrPort
	// Discover also connects to VMs outside Join that other VMs report.
	Discover bool
	// Capacity is the VM's CPU capacity in cores, 0 if unknown.
	Capacity float64
	// HubsOnly restricts the exchange of state to VMs that have a data folder.
	HubsOnly      bool
	DataDir       string
	AddressesFile string
	OperatorToken string
	LogLevel      log.Level
	TraceFile     string
	// ProfileFile is a file for a CPU profile of the whole run.
	ProfileFile string
	Policy      string
	// TightObjective is the latency objective up to which a route is tight: one VM selects the engines for its prompts, and the
	// overload policy refuse_late applies to its stages; 0 for none.
	TightObjective time.Duration
	// OverloadPolicy selects which stages are delayed or refused in an overload, see piece.OverloadPolicy.
	OverloadPolicy string
	// SettingsFile is a YAML file for settings that neither a flag nor an environment variable sets.
	SettingsFile string
	// RoutesAddr serves the requests of routes, ReadyAddr the load balancer's readiness probe, ControlAddr the
	// announcements of the endpoints of services and the operator's configuration, and MetricsAddr the metrics. An
	// invalid (zero) address is not served.
	RoutesAddr  netip.AddrPort
	ReadyAddr   netip.AddrPort
	ControlAddr netip.AddrPort
	MetricsAddr netip.AddrPort
	// Bootstrap forms the first replicated group from the VMs in Join.
	Bootstrap bool
	// SpareAfter is how long a voter's VM is silent before another VM replaces it.
	SpareAfter time.Duration
	// DiskLosses is the number of disks that may be lost at once without data loss; the group grows to twice that plus one
	// voters. 0 keeps the number of voters.
	DiskLosses int
	// MemoryMB is the memory limit of the process in MB, 0 for none.
	MemoryMB int
	// MaxFDs is the number of descriptors that the process may have, 0 for the limit of the operating system.
	MaxFDs int
	// HeadTimeout, BodyTimeout, WriteTimeout and IdleTimeout limit how long a caller may take for a head, for each part of a
	// body and of a response, and between two requests.
	HeadTimeout, BodyTimeout, WriteTimeout, IdleTimeout time.Duration
	// StopGrace limits the time from a signal to the exit of the process. 0 derives the limit from the longest deadline
	// in the document.
	StopGrace time.Duration
	Retry     Retry
	Cold      Cold
	// Warnings names the settings whose values were out of range and were replaced by the nearest one in range.
	Warnings []string
}

// Retry is the retry budget of each service, shared by all VMs.
type Retry struct {
	// Ratio is the share of the requests in Window that may be retried. Slack is a number of retries allowed on top.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Cold limits the requests to cold endpoints: in any second one gets at most as many as its service's configuration says, times
// Excess, plus Slack.
type Cold struct {
	Excess float64
	Slack  float64
}

// flag describes one setting.
type flag struct {
	name, defaultValue, usage string
	parse                     func(s *Settings, value string) error
}

var flags = []flag{
	{"vm", "", "name of this VM, unique among all VMs", func(s *Settings, v string) error { return setName(&s.VM, v) }},
	{"data_centre", "", "name of this VM's data centre", func(s *Settings, v string) error { return setName(&s.DataCentre, v) }},
	{"evacuate_within_ms", "5000", "time in milliseconds in which an evacuation has to take effect; 0 or empty if the deployment evacuates no data centres: a VM that starts does not wait for the evacuations then", setEvacuateWithin},
	{"data_centres", "", "names of the deployment's data centres, separated by commas, or a mapping with these keys in the settings file; only these may be evacuated; empty to accept any", setDataCentres},
	{"callers_addr", "127.0.0.1:0", "ip:port for callers and endpoints; empty to serve none", func(s *Settings, v string) error { return setOptionalAddr(&s.CallersAddr, v) }},
	{"operators_addr", "127.0.0.1:0", "ip:port for operators", func(s *Settings, v string) error { return setAddr(&s.OperatorsAddr, v) }},
	{"routes_addr", "", "ip:port for the requests of routes; empty to serve none", func(s *Settings, v string) error { return setOptionalAddr(&s.RoutesAddr, v) }},
	{"ready_addr", "", "ip:port for the load balancer's readiness probe of routes_addr", func(s *Settings, v string) error { return setOptionalAddr(&s.ReadyAddr, v) }},
	{"control_addr", "", "ip:port for endpoints of services and the operator's configuration; empty to serve none", func(s *Settings, v string) error { return setOptionalAddr(&s.ControlAddr, v) }},
	{"metrics_addr", "", "ip:port that serves /metrics in addition to the operators' address", func(s *Settings, v string) error { return setOptionalAddr(&s.MetricsAddr, v) }},
	{"link_addr", "127.0.0.1:0", "ip:port for other VMs", func(s *Settings, v string) error { return setAddr(&s.LinkAddr, v) }},
	{"join", "", "link addresses of other VMs, ip:port,ip:port", setJoin},
	{"join_port", "0", "port that replaces that of each address in --join; 0 to keep them", setJoinPort},
	{"bootstrap", "false", "true to form the first replicated group from the VMs in --join; --vm must then be the IP of --link_addr", setBootstrap},
	{"spare_after", "60s", "time without contact to a voter's VM after which another VM replaces it", func(s *Settings, v string) error { return setDuration(&s.SpareAfter, v) }},
	{"disk_losses", "0", "number of disks that may be lost at once; the group grows to twice that plus one voters; 0 to keep the number of voters", func(s *Settings, v string) error { return setCount(&s.DiskLosses, v) }},
	{"discover", "true", "false to connect only to the VMs in --join", setDiscover},
	{"hubs_only", "false", "true to exchange state only with VMs that have a data folder", func(s *Settings, v string) error { return setBool(&s.HubsOnly, v) }},
	{"data_dir", "", "data folder; empty on a VM without a disk", func(s *Settings, v string) error { s.DataDir = v; return nil }},
	{"addresses_file", "", "file to write the bound addresses to, as JSON", func(s *Settings, v string) error { s.AddressesFile = v; return nil }},
	{"operator_token_file", "", "file with the operator token; if empty, the operators' address serves only probes", readOperatorToken},
	{"log_level", "info", "debug, info, warn or error", setLogLevel},
	{"trace_file", "", "file to write traces to", func(s *Settings, v string) error { s.TraceFile = v; return nil }},
	{"profile_file", "", "file to write a CPU profile of the whole run to; the VM's name is appended", func(s *Settings, v string) error { s.ProfileFile = v; return nil }},
	{"policy", "predicted", "load balancing policy: predicted, least_in_flight, round_robin or random", setPolicy},
	{"tight_objective", "0s", "latency objective of a route up to which one VM selects the engines for the prompts of all VMs, and the overload policy refuse_late applies to the services of its stages; 0s for none", func(s *Settings, v string) error { return setDuration(&s.TightObjective, v) }},
	{"overload_policy", "defer", "which stages wait or are refused in an overload: defer, refuse_late or least_cost", setOverloadPolicy},
	{"capacity", "0", "CPU capacity of this VM, in cores; the VMs with the highest share dispatch pieces for the others", func(s *Settings, v string) error { return setNumber(&s.Capacity, v) }},
	{"memory_mb", "0", "memory that the process may use, in MB; 0 for no limit", func(s *Settings, v string) error { return setCount(&s.MemoryMB, v) }},
	{"max_fds", "0", "file descriptors that the process may have; 0 for the limit of the operating system", func(s *Settings, v string) error { return setOptionalCount(&s.MaxFDs, v) }},
	{"head_timeout", "10s", "time in which a caller has to send the head of a request", func(s *Settings, v string) error { return setDuration(&s.HeadTimeout, v) }},
	{"body_timeout", "10s", "time in which a caller has to send each part of a body", func(s *Settings, v string) error { return setDuration(&s.BodyTimeout, v) }},
	{"write_timeout", "30s", "time in which a caller has to read each 64 KB of a response", func(s *Settings, v string) error { return setDuration(&s.WriteTimeout, v) }},
	{"idle_timeout", "75s", "time after which a caller's idle connection is closed", func(s *Settings, v string) error { return setDuration(&s.IdleTimeout, v) }},
	{"stop_grace", "0s", "maximum time from a signal to the exit of the process; 0s to derive it from the longest deadline", func(s *Settings, v string) error { return setDuration(&s.StopGrace, v) }},
	{"retry_ratio", "0.2", "share of a service's requests that all VMs together may retry", setRetryRatio},
	{"retry_slack", "20", "number of retries per service and window allowed in addition to retry_ratio; may be a fraction", func(s *Settings, v string) error { return setNumber(&s.Retry.Slack, v) }},
	{"retry_window", "10s", "length of the window of retry_ratio and retry_slack, at least 100ms", setRetryWindow},
	{"cold_excess", "1", "factor by which the requests to a cold endpoint in a second may exceed what it tolerates", func(s *Settings, v string) error { return setOptionalNumber(&s.Cold.Excess, v, 1) }},
	{"cold_slack", "0", "number of requests to a cold endpoint in a second that are allowed in addition to cold_excess", func(s *Settings, v string) error { return setOptionalNumber(&s.Cold.Slack, v, 0) }},
	{"settings_file", "", "YAML file for settings that neither a flag nor an environment variable sets; reloaded when it changes and on SIGHUP", func(s *Settings, v string) error { s.SettingsFile = v; return nil }},
}

// AddFlags adds a flag for each setting. Flag names may be written with dashes instead of underscores.
func AddFlags(set *pflag.FlagSet) {
	set.SetNormalizeFunc(func(_ *pflag.FlagSet, name string) pflag.NormalizedName {
		return pflag.NormalizedName(strings.ReplaceAll(name, "-", "_"))
	})
	for _, f := range flags {
		set.String(f.name, f.defaultValue, f.usage+" ["+EnvironmentPrefix+strings.ToUpper(f.name)+"]")
	}
}

// Read returns the validated settings. A flag takes precedence over its environment variable, and both over the
// settings file. The error joins those of all invalid settings.
func Read(set *pflag.FlagSet) (*Settings, error) {
	s := &Settings{}
	var errs []error
	file, err := readFile(lookup(set, "settings_file", nil))
	if err != nil {
		errs = append(errs, err)
	}
	for _, f := range flags {
		if err := f.parse(s, lookup(set, f.name, file)); err != nil {
			errs = append(errs, fmt.Errorf("--%s (or %s): %w", f.name, environmentVariable(f.name), err))
		}
	}
	if s.Bootstrap && s.VM != s.LinkAddr.Addr().String() {
		errs = append(errs, fmt.Errorf("--vm: %q is not the IP of --link_addr; with --bootstrap it must be", s.VM))
	}
	return s, errors.Join(errs...)
}

func environmentVariable(name string) string {
	return EnvironmentPrefix + strings.ToUpper(name)
}

// lookup returns the value of a setting from the source with the highest precedence, or its default.
func lookup(set *pflag.FlagSet, name string, file map[string]string) string {
	value, _ := set.GetString(name)
	if set.Changed(name) {
		return value
	}
	if env, ok := os.LookupEnv(environmentVariable(name)); ok {
		return env
	}
	if text, ok := file[name]; ok {
		return text
	}
	return value
}

// readFile reads a YAML mapping of setting names to values. An empty path yields no values.
func readFile(path string) (map[string]string, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("--settings_file: %w; give a file that can be read", err)
	}
	var raw map[string]any
	if err := decode(text, &raw); err != nil {
		return nil, fmt.Errorf("--settings_file: %s is not a YAML mapping of settings: %w", path, err)
	}
	values := make(map[string]string, len(raw))
	for name, value := range raw {
		if !isSetting(name) {
			return nil, fmt.Errorf("--settings_file: %q is not a setting; see godwitplankd run --help", name)
		}
		if value == nil {
			value = ""
		}
		values[name] = settingText(value)
	}
	return values, nil
}

// decode decodes YAML. The library panics on some malformed texts.
func decode(text []byte, values *map[string]any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("malformed text (%v)", r)
		}
	}()
	return yaml.Unmarshal(text, values)
}

// settingText returns a value of the settings file as the text of a flag. A mapping stands for the list of its keys.
func settingText(value any) string {
	mapping, ok := value.(map[string]any)
	if !ok {
		return fmt.Sprint(value)
	}
	return strings.Join(slices.Sorted(maps.Keys(mapping)), ",")
}

func isSetting(name string) bool {
	for _, f := range flags {
		if f.name == name {
			return true
		}
	}
	return false
}

func setName(field *string, value string) error {
	if value == "" || strings.ContainsAny(value, " ,/\t\n") || !utf8.ValidString(value) {
		return fmt.Errorf("%q is not a valid name; use one of UTF-8 without spaces, commas and slashes", value)
	}
	*field = value
	return nil
}

func setEvacuateWithin(s *Settings, value string) error {
	ms := 0.0
	if err := setOptionalNumber(&ms, value, 0); err != nil {
		return err
	}
	s.EvacuateWithin = time.Duration(min(ms, maxDuration.Seconds()*1000) * float64(time.Millisecond))
	return nil
}

// setDataCentres skips invalid names with a warning: the platform gives the value, and a VM that does not start serves
// nothing.
func setDataCentres(s *Settings, value string) error {
	for text := range strings.SplitSeq(value, ",") {
		var name string
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		if err := setName(&name, text); err != nil {
			s.Warnings = append(s.Warnings, fmt.Sprintf("--data_centres: %v; it is skipped", err))
			continue
		}
		s.DataCentres = append(s.DataCentres, name)
	}
	slices.Sort(s.DataCentres)
	s.DataCentres = slices.Compact(s.DataCentres)
	return nil
}

func setAddr(field *netip.AddrPort, value string) error {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return fmt.Errorf("%q is not a valid address; use ip:port, with port 0 for any free port", value)
	}
	*field = a
	return nil
}

func setOptionalAddr(field *netip.AddrPort, value string) error {
	if value == "" {
		return nil
	}
	return setAddr(field, value)
}

// setJoinPort must run after setJoin, so join precedes join_port in flags.
func setJoinPort(s *Settings, value string) error {
	port, err := strconv.ParseUint(value, 10, 16)
	if err != nil {
		return fmt.Errorf("%q is not a valid port; use 0 to 65535", value)
	}
	for i, a := range s.Join {
		if port != 0 {
			s.Join[i] = netip.AddrPortFrom(a.Addr(), uint16(port))
		}
	}
	return nil
}

func setBool(field *bool, value string) error {
	b, err := strconv.ParseBool(value)
	if err != nil {
		return fmt.Errorf("%q is not a valid boolean; use true or false", value)
	}
	*field = b
	return nil
}

func setBootstrap(s *Settings, value string) error {
	return setBool(&s.Bootstrap, value)
}

func setJoin(s *Settings, value string) error {
	for _, text := range strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' }) {
		var a netip.AddrPort
		if err := setAddr(&a, text); err != nil {
			return err
		}
		if a.Port() == 0 {
			return fmt.Errorf("%q has port 0; use the port that the other VM listens on", text)
		}
		s.Join = append(s.Join, a)
	}
	return nil
}

func setDiscover(s *Settings, value string) error {
	return setBool(&s.Discover, value)
}

func readOperatorToken(s *Settings, value string) error {
	if value == "" {
		return nil
	}
	text, err := os.ReadFile(value)
	if err != nil {
		return fmt.Errorf("%w; give a file that can be read", err)
	}
	s.OperatorToken = strings.TrimSpace(string(text))
	if len(s.OperatorToken) < minTokenBytes {
		return fmt.Errorf("the token has fewer than %d characters; use a longer random one", minTokenBytes)
	}
	return nil
}

// minTokenBytes is the minimum length of the operator token.
const minTokenBytes = 16

func setLogLevel(s *Settings, value string) error {
	l, err := log.ParseLevel(value)
	if err != nil {
		return fmt.Errorf("%q is not a log level; use debug, info, warn or error", value)
	}
	s.LogLevel = l
	return nil
}
