package always

import (
	"time"

	"github.com/pistachioarch/pistachioarch/ctl/standin"
)

// faultCase is one row of the table that every TestAlways test runs over.
type faultCase struct {
	name string
	// inject brings the faults about while the load runs; it returns when all
	// of them are over.
	inject func(c *cluster)
	// planned says that only planned stops happen: nothing may be cut.
	planned bool
	// programs to run; 0 is defaultPrograms.
	programs int
	// unknownOrders is how many orders may end as "ran: unknown".
	unknownOrders int
	// cutOff says that some hosts cannot learn of a new declaration while the
	// faults last, so that it is looked for only from their end.
	cutOff bool
}

const defaultPrograms = 48

// firstFault is when the first fault comes after the load has begun.
const firstFault = 1200 * time.Millisecond

func wait(d time.Duration) { time.Sleep(d) }

// faultCases is the table. Times are of the bubble.
var faultCases = []faultCase{
	{name: "no fault", inject: func(*cluster) {}, planned: true},
	{name: "host killed", unknownOrders: 4, inject: func(c *cluster) {
		wait(firstFault)
		c.kill("h1")
	}},
	{name: "host killed and started again", unknownOrders: 4, inject: func(c *cluster) {
		wait(firstFault)
		c.kill("h1")
		wait(300 * time.Millisecond)
		c.start("h1")
	}},
	{name: "host killed with orders between intent and answer", unknownOrders: 16, inject: func(c *cluster) {
		c.service.SetFaults(standin.ServiceFaults{SlowMS: 400})
		c.awaitOrders(2)
		c.kill(c.ownerOfLastOrder())
		wait(2 * time.Second)
		c.service.SetFaults(standin.ServiceFaults{})
	}},
	{name: "two hosts of a data centre killed", unknownOrders: 8, inject: func(c *cluster) {
		wait(firstFault)
		c.kill("h1")
		wait(2 * time.Second)
		c.kill("h2")
	}},
	{name: "all hosts of a data centre killed and started again", unknownOrders: 16, inject: func(c *cluster) {
		wait(firstFault)
		c.kill("h4")
		c.kill("h5")
		wait(time.Second)
		c.start("h4")
		c.start("h5")
	}},
	{name: "data centre lost for good", unknownOrders: 16, inject: func(c *cluster) {
		wait(firstFault)
		c.kill("h4")
		c.kill("h5")
	}},
	{name: "graceful restart", planned: true, inject: func(c *cluster) {
		wait(firstFault)
		c.stop("h1")
		c.stopping.Wait()
		c.start("h1")
	}},
	{name: "every host gracefully restarted in turn", planned: true, programs: 2 * defaultPrograms, inject: func(c *cluster) {
		wait(firstFault)
		for _, name := range []string{"h1", "h2", "h3", "h4", "h5"} {
			c.stop(name)
			c.stopping.Wait()
			c.start(name)
			wait(2 * time.Second)
		}
	}},
	{name: "host killed while it hands over", unknownOrders: 4, inject: func(c *cluster) {
		wait(firstFault)
		c.stop("h1")
		wait(250 * time.Millisecond)
		c.kill("h1")
	}},
	{name: "host killed while slots are handed to it", unknownOrders: 4, inject: func(c *cluster) {
		wait(firstFault)
		c.stop("h1")
		wait(220 * time.Millisecond)
		c.kill("h2")
	}},
	{name: "host frozen past its lease and woken", unknownOrders: 4, cutOff: true, inject: func(c *cluster) {
		wait(firstFault)
		c.net.SetFrozen("10.1.0.1", true)
		wait(12 * time.Second)
		c.net.SetFrozen("10.1.0.1", false)
	}},
	{name: "platform down for five minutes", inject: func(c *cluster) {
		wait(firstFault)
		c.platform.SetFaults(standin.PlatformFaults{Down: true})
		wait(5 * time.Minute)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "platform slow", inject: func(c *cluster) {
		wait(firstFault)
		c.platform.SetFaults(standin.PlatformFaults{SlowMS: 700})
		wait(40 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "replies of writes lost", inject: func(c *cluster) {
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
	{name: "data centre cut from the platform", inject: func(c *cluster) {
		wait(firstFault)
		c.cutCentre("sapporo-a", true, false, true)
		wait(time.Minute)
		c.cutCentre("sapporo-a", true, false, false)
	}},
	{name: "data centre cut from the others", unknownOrders: 8, inject: func(c *cluster) {
		wait(firstFault)
		c.cutCentre("seeb", false, true, true)
		wait(time.Minute)
		c.cutCentre("seeb", false, true, false)
	}},
	{name: "data centre cut from all", unknownOrders: 8, cutOff: true, inject: func(c *cluster) {
		wait(firstFault)
		c.cutCentre("seeb", true, true, true)
		wait(time.Minute)
		c.cutCentre("seeb", true, true, false)
	}},
	{name: "host cut from the platform alone", inject: func(c *cluster) {
		wait(firstFault)
		c.net.SetPartitioned("10.1.0.1", platformPlace, true)
		wait(time.Minute)
		c.net.SetPartitioned("10.1.0.1", platformPlace, false)
	}},
	{name: "target killed", inject: func(c *cluster) {
		wait(firstFault)
		c.stopServer(enginePlace("e1"))
	}},
	{name: "target restarted", inject: func(c *cluster) {
		wait(firstFault)
		c.stopServer(enginePlace("e1"))
		wait(time.Second)
		c.engines["e1"].ClearCache()
		c.serve(enginePlace("e1"), c.engines["e1"].Handler())
	}},
	{name: "target hangs", inject: func(c *cluster) {
		wait(firstFault)
		c.engines["e1"].SetFaults(standin.EngineFaults{Freeze: true})
		wait(20 * time.Second)
		c.engines["e1"].SetFaults(standin.EngineFaults{})
	}},
	{name: "answers broken off", inject: func(c *cluster) {
		c.engines["e1"].SetFaults(standin.EngineFaults{BreakEvery: 5})
		c.engines["e3"].SetFaults(standin.EngineFaults{BreakEvery: 7})
	}},
	{name: "answers crossed", inject: func(c *cluster) {
		c.engines["e1"].SetFaults(standin.EngineFaults{CrossEvery: 6})
	}},
	{name: "target refuses", inject: func(c *cluster) {
		c.engines["e1"].SetFaults(standin.EngineFaults{Refuse: true})
		wait(5 * time.Second)
		c.engines["e1"].SetFaults(standin.EngineFaults{})
	}},
	{name: "orders to targets lost and cache reports with gaps", inject: func(c *cluster) {
		for _, e := range c.engines {
			e.SetFaults(standin.EngineFaults{FailReleaseEvery: 2, HideCacheEvery: 3})
		}
		wait(20 * time.Second)
	}},
	{name: "target ignores fencing", unknownOrders: 4, inject: func(c *cluster) {
		c.engines["e1"].SetFaults(standin.EngineFaults{IgnoreFencing: true})
		wait(firstFault)
		c.kill("h1")
	}},
	{name: "plain service loses replies", unknownOrders: 16, inject: func(c *cluster) {
		c.service.SetFaults(standin.ServiceFaults{LoseReplyEvery: 2})
	}},
	{name: "plain service refuses", unknownOrders: 0, inject: func(c *cluster) {
		c.service.SetFaults(standin.ServiceFaults{Refuse: true})
		wait(6 * time.Second)
		c.service.SetFaults(standin.ServiceFaults{})
	}},
	{name: "plain service hangs after executing", unknownOrders: 16, inject: func(c *cluster) {
		c.service.SetFaults(standin.ServiceFaults{Freeze: true})
		wait(8 * time.Second)
		c.service.SetFaults(standin.ServiceFaults{})
	}},
	{name: "two operators race", inject: func(c *cluster) {
		for i := range 5 {
			go c.apply("e2", "racer")
			c.apply("e2", "other racer")
			wait(time.Duration(i) * 10 * time.Millisecond)
		}
	}},
	// Two at once.
	{name: "platform down and a host killed", unknownOrders: 8, inject: func(c *cluster) {
		wait(firstFault)
		c.platform.SetFaults(standin.PlatformFaults{Down: true})
		wait(time.Second)
		c.kill("h1")
		wait(time.Minute)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "replies lost and a host killed", unknownOrders: 8, inject: func(c *cluster) {
		c.platform.SetFaults(standin.PlatformFaults{LoseReplyEvery: 2})
		wait(firstFault)
		c.kill("h1")
		wait(30 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "stale reads and a host killed", unknownOrders: 8, inject: func(c *cluster) {
		c.platform.SetFaults(standin.PlatformFaults{StaleReadEvery: 2})
		wait(firstFault)
		c.kill("h1")
		wait(30 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
	{name: "host frozen and a target killed", unknownOrders: 8, cutOff: true, inject: func(c *cluster) {
		wait(firstFault)
		c.net.SetFrozen("10.1.0.2", true)
		c.stopServer(enginePlace("e2"))
		wait(15 * time.Second)
		c.net.SetFrozen("10.1.0.2", false)
	}},
	{name: "data centre cut from all and a host stopped", unknownOrders: 8, cutOff: true, inject: func(c *cluster) {
		wait(firstFault)
		c.cutCentre("sapporo-a", true, true, true)
		wait(2 * time.Second)
		c.stop("h1")
		wait(40 * time.Second)
		c.cutCentre("sapporo-a", true, true, false)
		c.stopping.Wait()
	}},
	{name: "lost replies and operators racing in a slow platform", inject: func(c *cluster) {
		c.platform.SetFaults(standin.PlatformFaults{LoseReplyEvery: 2, SlowMS: 100})
		go c.apply("e2", "racer")
		c.apply("e2", "other racer")
		wait(10 * time.Second)
		c.platform.SetFaults(standin.PlatformFaults{})
	}},
}
