package boot

import "time"

// DefaultHeartbeatInterval is taken where a file names no heartbeat_ms.
const DefaultHeartbeatInterval = time.Second

// Defaults of MachineLimits: a small machine without a disk.
const (
	DefaultCPUPart   = 0.2
	DefaultCores     = 1.0
	DefaultMemoryMB  = 180
	DefaultOpenFiles = 4096
	DefaultLinkMbps  = 10.0
)

// Defaults of Rules. Where a smaller figure is the stricter one, the default is the small side of what deployments use.
const (
	DefaultStarterDelay   = 3 * time.Second
	DefaultReuseAfter     = 2 * time.Second
	DefaultInTouch        = 3 * time.Second
	DefaultAnswerWithin   = 4 * time.Second
	DefaultCatchUp        = 4 * time.Second
	DefaultEmptyOut       = 2 * time.Second
	DefaultGrace          = 8 * time.Second
	DefaultLossSlack      = 200 * time.Millisecond
	DefaultSettingsWithin = 2 * time.Second
	DefaultGoBack         = 250 * time.Millisecond
	DefaultStretch        = 5 * time.Second
	DefaultRetryRatio     = 0.2
	DefaultRetryWindow    = 10 * time.Second
	DefaultExtraTries     = 10
	DefaultHistory        = 30 * time.Second
	DefaultRelease        = 2 * time.Second
	DefaultRecovery       = 12 * time.Second
	DefaultTransit        = 120 * time.Millisecond
	DefaultLease          = 3 * time.Second
	DefaultThaw           = 300 * time.Millisecond
)
