package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Config configures a Host. Zero durations, Slots and Max... fields take the
// values of DefaultConfig.
type Config struct {
	// Host and DataCentre are the names of the host and its data centre; peers
	// reach it at Address.
	Host, DataCentre, Address string
	// Incarnation is unique to each start of the host.
	Incarnation string
	// Slots is the number of slots (1 to 4096) of a data centre, used when its
	// slot table is created.
	Slots int
	// Policy is the name of the scheduling policy.
	Policy string
	// Seed seeds the random source, used for jitter and program ids.
	Seed uint64
	// HasDisk reports whether the host keeps a data directory.
	HasDisk bool

	// LeaseDuration is how long a lease is valid from the time its renewal was
	// sent; RenewInterval is the time between renewals. ClockMargin covers the
	// drift between the clocks of two hosts during one lease.
	LeaseDuration, RenewInterval, ClockMargin time.Duration
	// DataCentreLeaseDuration is how long a data centre that cannot reach the
	// platform continues to serve, and how long other data centres wait before
	// they take over.
	DataCentreLeaseDuration time.Duration
	// HeartbeatInterval and SuspectTimeout control the failure detector.
	// PromiseDuration is how long a host that cannot reach the platform promises
	// not to take over slots of the peer.
	HeartbeatInterval, SuspectTimeout, PromiseDuration time.Duration
	// FlushInterval is the minimum time between two journal segments. It bounds
	// the platform writes per second under any load.
	FlushInterval time.Duration
	// MaxSegmentBytes bounds one segment (1 KiB to 1 MiB). MaxTailBytes bounds
	// the records that wait to be written to the platform; above it new calls
	// and programs are rejected.
	MaxSegmentBytes, MaxTailBytes int
	// OperationTimeout is the time after which a platform operation without a
	// reply counts as lost.
	OperationTimeout time.Duration
	// ConfigPollInterval is the time between two checks for a new declaration by
	// any one member of the data centre, in addition to the watch.
	ConfigPollInterval time.Duration
	// Retention is how long the answers of an ended program can be fetched.
	Retention time.Duration
	// MaxPrograms bounds the number of programs of one host.
	MaxPrograms int
}

// TickInterval is the interval at which a driver should send Tick events.
const TickInterval = 20 * time.Millisecond

// DefaultConfig returns the defaults. The caller sets Host, DataCentre, Address
// and Incarnation.
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

// check returns a failure of kind InvalidSetting for the first setting with
// which the protocols would be unsafe.
func (c *Config) check() error {
	switch {
	case c.Host == "" || c.DataCentre == "" || c.Incarnation == "":
		return failure.New(failure.InvalidSetting, "host, data centre and incarnation must be set")
	case c.Slots < 1 || c.Slots > 4096:
		return failure.New(failure.InvalidSetting, "slots must be from 1 to 4096")
	case c.RenewInterval*2 > c.LeaseDuration:
		return failure.New(failure.InvalidSetting, "the lease must be renewed at least twice within its duration")
	case c.DataCentreLeaseDuration < 2*c.LeaseDuration:
		return failure.New(failure.InvalidSetting, "the data centre lease must last at least twice as long as a lease")
	case c.SuspectTimeout < 2*c.HeartbeatInterval:
		return failure.New(failure.InvalidSetting, "the suspect timeout must be at least two heartbeat intervals")
	case c.MaxSegmentBytes < 1024 || c.MaxSegmentBytes > 1<<20:
		return failure.New(failure.InvalidSetting, "the maximum segment size must be from 1 KiB to 1 MiB")
	}
	return nil
}

// member returns the name of this incarnation: "<data
// centre>/<host>.<incarnation>".
func (c *Config) member() string { return c.DataCentre + "/" + c.Host + "." + c.Incarnation }
