package always

import (
	"time"

	"github.com/pistachioarch/pistachioarch/ctl/standin"
)

// faultCase is one row of the table that every test checks.
type faultCase struct {
	name string
	// inject injects the faults while the load runs. It returns when the
	// temporary faults are over; permanent ones last to the end of the case.
	inject func(c *cluster)
	// plannedStopsOnly reports that the case has no faults but planned stops, which must
	// interrupt no request.
	plannedStopsOnly bool
	// programs is the number of programs to run; 0 means defaultPrograms.
	programs int
	// unknownOrders bounds the orders that may end as "ran: unknown".
	unknownOrders int
	// delaysConfig reports that some hosts cannot learn of a new declaration during
	// the faults. The time until it is applied then counts from their end.
	delaysConfig bool
}

const defaultPrograms = 48

// firstFaultDelay is the time from the start of the load to the first fault.
const firstFaultDelay = 1200 * time.Millisecond

func wait(d time.Duration) { time.Sleep(d) }

// faultCases is the table of faults. Times are virtual, of the synctest bubble.
var faultCases = []faultCase{
	{name: "no fault", inject: func(*cluster) {}, plannedStopsOnly: true},
	{name: "host killed", unknownOrders: 4, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.killHost("h1")
	}},
	{name: "host killed and restarted", unknownOrders: 4, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.killHost("h1")
		wait(300 * time.Millisecond)
		c.startHost("h1")
	}},
	{name: "host killed with orders between intent and answer", unknownOrders: 16, inject: func(c *cluster) {
		c.service.SetFaults(standin.ServiceFaults{SlowMS: 400})
		c.awaitOrders(2)
		c.killHost(c.ownerOfLastOrder())
		wait(2 * time.Second)
		c.service.SetFaults(standin.ServiceFaults{})
	}},
	{name: "two hosts of a data centre killed", unknownOrders: 8, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.killHost("h1")
		wait(2 * time.Second)
		c.killHost("h2")
	}},
	{name: "all hosts of a data centre killed and restarted", unknownOrders: 16, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.killHost("h4")
		c.killHost("h5")
		wait(time.Second)
		c.startHost("h4")
		c.startHost("h5")
	}},
	{name: "data centre lost permanently", unknownOrders: 16, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.killHost("h4")
		c.killHost("h5")
	}},
	{name: "graceful restart", plannedStopsOnly: true, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.drainHost("h1")
		c.drains.Wait()
		c.startHost("h1")
	}},
	{name: "every host gracefully restarted in turn", plannedStopsOnly: true, programs: 2 * defaultPrograms, inject: func(c *cluster) {
		wait(firstFaultDelay)
		for _, name := range []string{"h1", "h2", "h3", "h4", "h5"} {
			c.drainHost(name)
			c.drains.Wait()
			c.startHost(name)
			wait(2 * time.Second)
		}
	}},
	{name: "host killed during its handover", unknownOrders: 4, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.drainHost("h1")
		wait(250 * time.Millisecond)
		c.killHost("h1")
	}},
	{name: "host killed while it receives slots", unknownOrders: 4, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.drainHost("h1")
		wait(220 * time.Millisecond)
		c.killHost("h2")
	}},
	{name: "host frozen beyond its lease and resumed", unknownOrders: 4, delaysConfig: true, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.net.SetFrozen("10.1.0.1", true)
		wait(12 * time.Second)
		c.net.SetFrozen("10.1.0.1", false)
	}},
	{name: "platform down for five minutes", inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.platform.SetFaults(standin.PlatformFaults{Down: true})
		wait(5 * time.Minute)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "platform slow", inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.platform.SetFaults(standin.PlatformFaults{SlowMS: 700})
		wait(40 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "replies to writes lost", inject: func(c *cluster) {
		c.platform.SetFaults(standin.PlatformFaults{LoseReplyEvery: 3})
		wait(30 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "stale reads", inject: func(c *cluster) {
		c.platform.SetFaults(standin.PlatformFaults{StaleReadEvery: 2})
		wait(30 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "watch stuck", inject: func(c *cluster) {
		c.platform.SetFaults(standin.PlatformFaults{StuckWatch: true})
		wait(30 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "data centre partitioned from the platform", inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.partitionDataCentre("sapporo-a", true, false, true)
		wait(time.Minute)
		c.partitionDataCentre("sapporo-a", true, false, false)
	}},
	{name: "data centre partitioned from the other hosts", unknownOrders: 8, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.partitionDataCentre("seeb", false, true, true)
		wait(time.Minute)
		c.partitionDataCentre("seeb", false, true, false)
	}},
	{name: "data centre partitioned from the platform and the other hosts", unknownOrders: 8, delaysConfig: true, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.partitionDataCentre("seeb", true, true, true)
		wait(time.Minute)
		c.partitionDataCentre("seeb", true, true, false)
	}},
	{name: "host partitioned from the platform only", inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.net.SetPartitioned("10.1.0.1", platformIP, true)
		wait(time.Minute)
		c.net.SetPartitioned("10.1.0.1", platformIP, false)
	}},
	{name: "target killed", inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.killServer(engineIP("e1"))
	}},
	{name: "target restarted", inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.killServer(engineIP("e1"))
		wait(time.Second)
		c.engines["e1"].ClearCache()
		c.startServer(engineIP("e1"), c.engines["e1"].Handler())
	}},
	{name: "target hangs", inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.engines["e1"].SetFaults(standin.EngineFaults{Freeze: true})
		wait(20 * time.Second)
		c.engines["e1"].SetFaults(standin.EngineFaults{})
	}},
	{name: "answers interrupted", inject: func(c *cluster) {
		c.engines["e1"].SetFaults(standin.EngineFaults{BreakEvery: 5})
		c.engines["e3"].SetFaults(standin.EngineFaults{BreakEvery: 7})
	}},
	{name: "answers crossed", inject: func(c *cluster) {
		c.engines["e1"].SetFaults(standin.EngineFaults{CrossEvery: 6})
	}},
	{name: "target rejects requests", inject: func(c *cluster) {
		c.engines["e1"].SetFaults(standin.EngineFaults{Refuse: true})
		wait(5 * time.Second)
		c.engines["e1"].SetFaults(standin.EngineFaults{})
	}},
	{name: "cache releases lost and cache reports incomplete", inject: func(c *cluster) {
		for _, e := range c.engines {
			e.SetFaults(standin.EngineFaults{FailReleaseEvery: 2, HideCacheEvery: 3})
		}
		wait(20 * time.Second)
	}},
	{name: "target ignores fencing", unknownOrders: 4, inject: func(c *cluster) {
		c.engines["e1"].SetFaults(standin.EngineFaults{IgnoreFencing: true})
		wait(firstFaultDelay)
		c.killHost("h1")
	}},
	{name: "plain service loses replies", unknownOrders: 16, inject: func(c *cluster) {
		c.service.SetFaults(standin.ServiceFaults{LoseReplyEvery: 2})
	}},
	{name: "plain service rejects requests", unknownOrders: 0, inject: func(c *cluster) {
		c.service.SetFaults(standin.ServiceFaults{Refuse: true})
		wait(6 * time.Second)
		c.service.SetFaults(standin.ServiceFaults{})
	}},
	{name: "plain service hangs after executing", unknownOrders: 16, inject: func(c *cluster) {
		c.service.SetFaults(standin.ServiceFaults{Freeze: true})
		wait(8 * time.Second)
		c.service.SetFaults(standin.ServiceFaults{})
	}},
	{name: "two operators apply declarations concurrently", inject: func(c *cluster) {
		for i := range 5 {
			go c.applyDeclaration("e2", "racer")
			c.applyDeclaration("e2", "other racer")
			wait(time.Duration(i) * 10 * time.Millisecond)
		}
	}},
	// Combined faults.
	{name: "platform down and a host killed", unknownOrders: 8, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.platform.SetFaults(standin.PlatformFaults{Down: true})
		wait(time.Second)
		c.killHost("h1")
		wait(time.Minute)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "replies lost and a host killed", unknownOrders: 8, inject: func(c *cluster) {
		c.platform.SetFaults(standin.PlatformFaults{LoseReplyEvery: 2})
		wait(firstFaultDelay)
		c.killHost("h1")
		wait(30 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "stale reads and a host killed", unknownOrders: 8, inject: func(c *cluster) {
		c.platform.SetFaults(standin.PlatformFaults{StaleReadEvery: 2})
		wait(firstFaultDelay)
		c.killHost("h1")
		wait(30 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "host frozen and a target killed", unknownOrders: 8, delaysConfig: true, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.net.SetFrozen("10.1.0.2", true)
		c.killServer(engineIP("e2"))
		wait(15 * time.Second)
		c.net.SetFrozen("10.1.0.2", false)
	}},
	{name: "data centre partitioned from the platform and the other hosts, and a host drained", unknownOrders: 8, delaysConfig: true, inject: func(c *cluster) {
		wait(firstFaultDelay)
		c.partitionDataCentre("sapporo-a", true, true, true)
		wait(2 * time.Second)
		c.drainHost("h1")
		wait(40 * time.Second)
		c.partitionDataCentre("sapporo-a", true, true, false)
		c.drains.Wait()
	}},
	{name: "replies lost and two operators apply declarations concurrently on a slow platform", inject: func(c *cluster) {
		c.platform.SetFaults(standin.PlatformFaults{LoseReplyEvery: 2, SlowMS: 100})
		go c.applyDeclaration("e2", "racer")
		c.applyDeclaration("e2", "other racer")
		wait(10 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
}
