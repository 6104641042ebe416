package boot

import (
	"net/netip"
	"os"
	"time"

	"github.com/magiconair/properties"
)

// rulesPrefix starts the key of every figure of the rules.
const rulesPrefix = "limits_of_rules."

// Load reads the settings file at path. It fails with Error; when fields are wrong the cause is an *InvalidError.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.New("cannot be read, check that %s names a readable file: %w", PathVariable, err)
	}
	return Parse(text)
}

// Parse reads settings from the text of a file. It fails with Error; when fields are wrong the cause is an
// *InvalidError with all faults of the file.
func Parse(text []byte) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	parsed, err := loader.LoadBytes(text)
	if err != nil {
		return nil, Error.New("does not consist of lines name=value, correct the line named here: %w", err)
	}
	found := &fields{properties: parsed}
	settings := found.settings()
	if len(found.faults) > 0 {
		return nil, Error.Wrap(&InvalidError{Faults: found.faults})
	}
	return settings, nil
}

// settings reads every field.
func (f *fields) settings() *Settings {
	settings := &Settings{
		Node:              f.required("node", "the name of the machine"),
		Role:              f.text("role"),
		MachineType:       f.text("machine_type"),
		Serves:            f.list("serves"),
		IP:                f.ip("ip"),
		Zone:              f.required("zone", "the zone of the machine"),
		Region:            f.text("region"),
		Zones:             f.under("zones."),
		InsidePorts:       f.portRange("inside_ports"),
		Starters:          f.addresses("starters"),
		FirstRun:          f.flag("first_run"),
		Counted:           f.flag("counted"),
		Limits:            f.machineLimits(),
		DataFolder:        f.text("data_folder"),
		HeartbeatInterval: f.interval("heartbeat_ms", DefaultHeartbeatInterval),
		Promises:          f.list("promises"),
		Bear:              f.losses(),
		Rules:             f.rules(),
	}
	if settings.Region == "" {
		settings.Region = settings.Zones[settings.Zone]
	}
	settings.ListenOn = f.listenOn(settings)
	return settings
}

// ip returns the IP address under key, which must be there.
func (f *fields) ip(key string) string {
	value := f.required(key, "the IP address of the machine")
	if value == "" {
		return ""
	}
	if _, err := netip.ParseAddr(value); err != nil {
		f.fault(key, "%q is no IP address; give one such as 10.0.0.7", value)
	}
	return value
}

// listenOn reads the addresses to listen on, which are needed for what the role serves.
func (f *fields) listenOn(settings *Settings) ListenOn {
	servesEdge := settings.Serving(ServesEdge)
	return ListenOn{
		Front:   f.address("listen_on.front", servesEdge),
		Ready:   f.address("listen_on.ready", servesEdge),
		Control: f.address("listen_on.control", settings.Serving(ServesSteering)),
	}
}

// portRange reads the first and the last port of a range, which must be there.
func (f *fields) portRange(key string) PortRange {
	if f.required(key, "the first and the last port free for traffic inside the system") == "" {
		return PortRange{}
	}
	ends := f.list(key)
	if len(ends) != 2 {
		f.fault(key, "%q is not two ports; give the first and the last, separated by a comma", f.text(key))
		return PortRange{}
	}
	ports := PortRange{First: f.port(key, ends[0]), Last: f.port(key, ends[1])}
	if ports.First > ports.Last && ports.Last > 0 {
		f.fault(key, "the first port is above the last; swap them")
	}
	return ports
}

// addresses reads a list of addresses.
func (f *fields) addresses(key string) []string {
	items := f.list(key)
	for _, item := range items {
		f.checkAddress(key, item)
	}
	return items
}

// machineLimits reads what the process may use.
func (f *fields) machineLimits() MachineLimits {
	return MachineLimits{
		CPUPart:   f.number("limits.cpu_part", DefaultCPUPart),
		Cores:     f.number("limits.cores", DefaultCores),
		MemoryMB:  f.whole("limits.memory_mb", DefaultMemoryMB),
		OpenFiles: f.whole("limits.open_files", DefaultOpenFiles),
		LinkMbps:  f.number("limits.link_mbps", DefaultLinkMbps),
		DiskMB:    f.whole("limits.disk_mb", 0),
	}
}

// losses reads what may be lost at once.
func (f *fields) losses() Losses {
	return Losses{
		Machines: f.whole("bear.machines", 0),
		Zones:    f.whole("bear.zones", 0),
		Regions:  f.whole("bear.regions", 0),
	}
}

// rules reads the figures of the rules.
func (f *fields) rules() Rules {
	return Rules{
		StarterDelay:   f.seconds("starter_delay_s", DefaultStarterDelay),
		ReuseAfter:     f.seconds("reuse_after_s", DefaultReuseAfter),
		InTouch:        f.milliseconds("in_touch_ms", DefaultInTouch),
		AnswerWithin:   f.milliseconds("answer_ms", DefaultAnswerWithin),
		CatchUp:        f.seconds("catch_up_s", DefaultCatchUp),
		EmptyOut:       f.milliseconds("empty_out_ms", DefaultEmptyOut),
		Grace:          f.seconds("grace_s", DefaultGrace),
		LossSlack:      f.milliseconds("loss_slack_ms", DefaultLossSlack),
		SettingsWithin: f.milliseconds("settings_ms", DefaultSettingsWithin),
		GoBack:         f.milliseconds("go_back_ms", DefaultGoBack),
		Stretch:        f.milliseconds("stretch_ms", DefaultStretch),
		RetryRatio:     f.number(rulesPrefix+"retry_ratio", DefaultRetryRatio),
		RetryWindow:    f.seconds("retry_window_s", DefaultRetryWindow),
		ExtraTries:     f.whole(rulesPrefix+"extra_tries", DefaultExtraTries),
		History:        f.seconds("history_s", DefaultHistory),
		Release:        f.milliseconds("release_ms", DefaultRelease),
		Recovery:       f.seconds("recovery_s", DefaultRecovery),
		Transit:        f.milliseconds("transit_ms", DefaultTransit),
		Again:          f.seconds("again_s", 0),
		Fenced:         f.flag(rulesPrefix + "fenced"),
		Lease:          f.milliseconds("lease_ms", DefaultLease),
		Thaw:           f.milliseconds("thaw_ms", DefaultThaw),
	}
}

// seconds reads a figure of the rules that is written in seconds.
func (f *fields) seconds(name string, fallback time.Duration) time.Duration {
	return f.duration(rulesPrefix+name, time.Second, fallback)
}

// milliseconds reads a figure of the rules that is written in milliseconds.
func (f *fields) milliseconds(name string, fallback time.Duration) time.Duration {
	return f.duration(rulesPrefix+name, time.Millisecond, fallback)
}
