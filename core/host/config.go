package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Config is what a Host is told when it starts. Durations that are zero take
// the value of DefaultConfig.
type Config struct {
	// Host, DataCentre and Address say who and where the host is; Address is
	// where peers reach it.
	Host, DataCentre, Address string
	// Incarnation is unique to this start of the host.
	Incarnation string
	// Slots is the number of slots of a data centre when its table is made.
	Slots int
	// Policy names the scheduling policy.
	Policy string
	// Seed starts the random source (jitter, program ids).
	Seed uint64
	// HasDisk says that the host keeps a data folder.
	HasDisk bool

	// LeaseDuration is how long a lease holds after its renewal was sent;
	// RenewEvery is how often it is renewed. ClockMargin covers the drift
	// between the clocks of two hosts over one lease.
	LeaseDuration, RenewInterval, ClockMargin time.Duration
	// DataCentreLease is how long a data centre that is cut off from the
	// platform serves on, and other data centres wait.
	DataCentreLeaseDuration time.Duration
	// HeartbeatEvery and SuspectAfter pace the failure detector; PromiseFor is
	// how long a host out of the platform's reach promises no takeover.
	HeartbeatInterval, SuspectTimeout, PromiseDuration time.Duration
	// FlushEvery is the least time between two journal segments; with it the
	// platform writes per second are bounded whatever the load.
	FlushInterval time.Duration
	// MaxSegmentBytes bounds one segment, MaxTailBytes what may wait for the
	// platform before new calls get backpressure.
	MaxSegmentBytes, MaxTailBytes int
	// OperationTimeout is when a platform operation counts as lost.
	OperationTimeout time.Duration
	// ConfigPollEvery is how often one member of the data centre looks for a
	// new declaration besides the watch.
	ConfigPollInterval time.Duration
	// Retention is how long an ended program's answers may be fetched.
	Retention time.Duration
	// MaxPrograms bounds the programs of one host.
	MaxPrograms int
}

// TickEvery is the period at which a driver should send Tick events.
const TickInterval = 20 * time.Millisecond

// DefaultConfig returns the defaults. The caller sets who and where.
func DefaultConfig() Config {
	return Config{
		Slots:                   64,
		LeaseDuration:           6 * time.Second,
		RenewInterval:           2 * time.Second,
		ClockMargin:             300 * time.Millisecond,
		DataCentreLeaseDuration: 6 * time.Minute,
		HeartbeatInterval:       300 * time.Millisecond,
		SuspectTimeout:          1200 * time.Millisecond,
		PromiseDuration:         4 * time.Second,
		FlushInterval:           250 * time.Millisecond,
		MaxSegmentBytes:         900 << 10,
		MaxTailBytes:            16 << 20,
		OperationTimeout:        3 * time.Second,
		ConfigPollInterval:      time.Second,
		Retention:               10 * time.Minute,
		MaxPrograms:             100_000,
	}
}

// check reports the first setting with which the protocols would not be safe.
func (c *Config) check() error {
	switch {
	case c.Host == "" || c.DataCentre == "" || c.Incarnation == "":
		return failure.New(failure.InvalidSetting, "host, data centre and incarnation must be set")
	case c.Slots < 1 || c.Slots > 4096:
		return failure.New(failure.InvalidSetting, "slots must be from 1 to 4096")
	case c.RenewInterval*2 > c.LeaseDuration:
		return failure.New(failure.InvalidSetting, "a lease must be renewed at least twice in its duration")
	case c.DataCentreLeaseDuration < 2*c.LeaseDuration:
		return failure.New(failure.InvalidSetting, "the data centre lease must be at least two leases long")
	case c.SuspectTimeout < 2*c.HeartbeatInterval:
		return failure.New(failure.InvalidSetting, "suspicion needs at least two missed heartbeats")
	case c.MaxSegmentBytes < 1024 || c.MaxSegmentBytes > 1<<20:
		return failure.New(failure.InvalidSetting, "a segment has from 1 KiB to 1 MiB")
	}
	return nil
}

// member is the name of this incarnation: "<data centre>/<host>.<incarnation>".
func (c *Config) member() string { return c.DataCentre + "/" + c.Host + "." + c.Incarnation }
