package boot_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/boot"
)

// required is a file with nothing but what a file must hold.
const required = "node=n1\nip=10.0.0.1\nzone=north\ninside_ports=7000,7009\n"

// full is a file with every field that is known, and two that are not.
const full = `node=edge-north-1
role=proxy
machine_type=edge
serves=edge,steering
ip=10.0.0.1
zone=north
region=inland
zones.north=inland
zones.south=coast
listen_on.front=10.0.0.1:8000
listen_on.ready=10.0.0.1:8001
listen_on.control=10.0.0.1:8002
inside_ports=7000, 7009
starters=10.0.0.2:8002,10.0.0.3:8002
first_run=true
counted=false
limits.cpu_part=0.5
limits.cores=2
limits.memory_mb=300
limits.open_files=5000
limits.link_mbps=1000.0
limits.disk_mb=64
data_folder=/data/$HOME/${x}
heartbeat_ms=1500
promises=base,drain
bear.machines=2
bear.zones=1
bear.regions=0
some_day.new=1
limits_of_rules.unheard_of=many
limits_of_rules.starter_delay_s=0.5
limits_of_rules.reuse_after_s=2.5
limits_of_rules.in_touch_ms=3001
limits_of_rules.answer_ms=4001
limits_of_rules.catch_up_s=5
limits_of_rules.empty_out_ms=2001
limits_of_rules.grace_s=9
limits_of_rules.loss_slack_ms=201
limits_of_rules.settings_ms=2002
limits_of_rules.go_back_ms=251
limits_of_rules.stretch_ms=5001
limits_of_rules.retry_ratio=0.25
limits_of_rules.retry_window_s=11
limits_of_rules.extra_tries=52
limits_of_rules.history_s=21
limits_of_rules.release_ms=1501
limits_of_rules.recovery_s=13
limits_of_rules.transit_ms=0.5
limits_of_rules.again_s=1
limits_of_rules.fenced=true
limits_of_rules.lease_ms=3002
limits_of_rules.thaw_ms=301
`

func TestEveryFieldIsRead(t *testing.T) {
	c := qt.New(t)
	// Given a file with every field, when it is read, then each value is where it belongs.
	settings, err := boot.Parse([]byte(full))
	c.Assert(err, qt.IsNil)
	c.Assert(settings, qt.DeepEquals, &boot.Settings{
		Node: "edge-north-1", Role: "proxy", MachineType: "edge",
		Serves: []string{"edge", "steering"}, IP: "10.0.0.1", Zone: "north", Region: "inland",
		Zones:       map[string]string{"north": "inland", "south": "coast"},
		ListenOn:    boot.ListenOn{Front: "10.0.0.1:8000", Ready: "10.0.0.1:8001", Control: "10.0.0.1:8002"},
		InsidePorts: boot.PortRange{First: 7000, Last: 7009},
		Starters:    []string{"10.0.0.2:8002", "10.0.0.3:8002"}, FirstRun: true,
		Limits: boot.MachineLimits{
			CPUPart: 0.5, Cores: 2, MemoryMB: 300, OpenFiles: 5000, LinkMbps: 1000, DiskMB: 64,
		},
		DataFolder: "/data/$HOME/${x}", HeartbeatInterval: 1500 * time.Millisecond,
		Promises: []string{"base", "drain"}, Bear: boot.Losses{Machines: 2, Zones: 1},
		Rules: boot.Rules{
			StarterDelay: 500 * time.Millisecond, ReuseAfter: 2500 * time.Millisecond,
			InTouch: 3001 * time.Millisecond, AnswerWithin: 4001 * time.Millisecond, CatchUp: 5 * time.Second,
			EmptyOut: 2001 * time.Millisecond, Grace: 9 * time.Second, LossSlack: 201 * time.Millisecond,
			SettingsWithin: 2002 * time.Millisecond, GoBack: 251 * time.Millisecond,
			Stretch: 5001 * time.Millisecond, RetryRatio: 0.25, RetryWindow: 11 * time.Second, ExtraTries: 52,
			History: 21 * time.Second, Release: 1501 * time.Millisecond,
			Recovery: 13 * time.Second, Transit: 500 * time.Microsecond, Again: time.Second, Fenced: true,
			Lease: 3002 * time.Millisecond, Thaw: 301 * time.Millisecond,
		},
	})
	c.Assert(settings.Serving(boot.ServesSteering), qt.IsTrue)
	c.Assert(settings.Promised("config"), qt.IsFalse)
	c.Assert(settings.InsidePorts.Count(), qt.Equals, 10)
}

func TestWhatIsLeftOutHasDefaults(t *testing.T) {
	c := qt.New(t)
	// Given a file with the required fields, an empty value and a zone of a known region
	text := required + "zones.north=inland\nlimits.cores=\nstarters=\n"
	// when it is read
	settings, err := boot.Parse([]byte(text))
	// then the rest holds the documented defaults.
	c.Assert(err, qt.IsNil)
	c.Assert(settings.Region, qt.Equals, "inland")
	c.Assert(settings.Limits.Cores, qt.Equals, boot.DefaultCores)
	c.Assert(settings.HeartbeatInterval, qt.Equals, boot.DefaultHeartbeatInterval)
	c.Assert(settings.Rules.Lease, qt.Equals, boot.DefaultLease)
	c.Assert(settings.Rules.Fenced, qt.IsFalse)
	c.Assert(settings.Starters, qt.HasLen, 0)
	c.Assert(settings.FirstRun, qt.IsFalse)
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	c := qt.New(t)
	// Given a file with a fault in many of its fields
	text := `serves=edge
ip=here
inside_ports=9,3
starters=10.0.0.2
first_run=perhaps
heartbeat_ms=0
limits.cores=-1
bear.zones=NaN
limits_of_rules.grace_s=soon
limits_of_rules.lease_ms=1e300
`
	// when it is read
	_, err := boot.Parse([]byte(text))
	// then every one is named with its key.
	var invalid *boot.InvalidError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	c.Assert(boot.Error.Has(err), qt.IsTrue)
	wrong := make(map[string]bool)
	for _, fault := range invalid.Faults {
		wrong[fault.Key] = true
		c.Check(strings.Contains(err.Error(), fault.Key+": "+fault.Problem), qt.IsTrue)
	}
	c.Assert(wrong, qt.DeepEquals, map[string]bool{
		"node": true, "ip": true, "zone": true, "inside_ports": true, "starters": true, "first_run": true,
		"heartbeat_ms": true, "limits.cores": true, "bear.zones": true, "limits_of_rules.grace_s": true,
		"limits_of_rules.lease_ms": true, "listen_on.front": true, "listen_on.ready": true,
	})
}

func TestFilesAreLoaded(t *testing.T) {
	c := qt.New(t)
	// Given a file
	path := filepath.Join(c.TempDir(), "boot.conf")
	c.Assert(os.WriteFile(path, []byte(required), 0o600), qt.IsNil)
	// when it is loaded, then its settings come; when there is none, then the failure says which file to look at.
	settings, err := boot.Load(path)
	c.Assert(err, qt.IsNil)
	c.Assert(settings.Node, qt.Equals, "n1")
	_, err = boot.Load(path + ".missing")
	c.Assert(boot.Error.Has(err), qt.IsTrue)
	c.Assert(errors.Is(err, os.ErrNotExist), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, `.*boot\.conf\.missing.*`)
}
