package roles

import "time"

// faultCase is one row of the table: what happens while programs run.
type faultCase struct {
	name   string
	inject func(c *cluster)
	// planned cases must not cut a single request.
	planned bool
	// crowded cases run on three history hosts, two of which are in one data centre.
	crowded bool
	// five cases are those of fiveCases.
	fiveReplicas bool
}

const (
	// jump is how far clocks jump: most of the slack that turns are kept for beyond
	// their retention.
	clockJump = 12 * time.Second
	// sweepTime is long enough for history hosts to drop what has expired.
	sweepDuration = 6 * time.Second
)

func wait(d time.Duration) { time.Sleep(d) }

var faultCases = []faultCase{
	{name: "calm", planned: true, inject: func(*cluster) {}},
	{name: "configurations in quick succession", planned: true, inject: func(c *cluster) {
		for range 10 {
			c.configure(9 * time.Second)
			wait(100 * time.Millisecond)
		}
	}},
	{name: "entry hosts rolled in turn", planned: true, inject: func(c *cluster) {
		for i := range c.entryHosts {
			c.rollEntryHost(i)
		}
	}},
	{name: "an entry host killed and back", inject: func(c *cluster) {
		e := c.killEntryHost(0)
		wait(time.Second)
		c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
	}},
	{name: "a history host killed and back", inject: func(c *cluster) {
		h := c.killHistoryHost(0)
		wait(2 * time.Second)
		c.restartHistoryHost(h)
	}},
	{name: "a history host killed while the platform is down", inject: func(c *cluster) {
		c.store.SetDown(true)
		h := c.killHistoryHost(1)
		wait(3 * time.Second)
		c.restartHistoryHost(h)
		wait(3 * time.Second)
		c.store.SetDown(false)
	}},
	{name: "all processes killed at once", inject: func(c *cluster) {
		for i := range c.historyHosts {
			c.killHistoryHost(i)
		}
		for i := range c.entryHosts {
			c.killEntryHost(i)
		}
		wait(time.Second)
		for _, h := range c.historyHosts {
			c.restartHistoryHost(h)
		}
		for _, e := range c.entryHosts {
			c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
		}
	}},
	{name: "all killed, the platform down when they are back", inject: func(c *cluster) {
		for i := range c.historyHosts {
			c.killHistoryHost(i)
		}
		c.store.SetDown(true)
		for _, h := range c.historyHosts {
			c.restartHistoryHost(h)
		}
		wait(5 * time.Second)
		c.store.SetDown(false)
	}},
	{name: "disks lost one after the other", inject: func(c *cluster) {
		for i := range c.historyHosts {
			h := c.killHistoryHost(i)
			wait(time.Second)
			h.dir = c.t.TempDir()
			c.restartHistoryHost(h)
			wait(4 * time.Second)
		}
	}},
	{name: "a history host gone for good, another comes", inject: func(c *cluster) {
		c.killHistoryHost(2)
		wait(2 * time.Second)
		c.startHistoryHost(&historyHost{name: "h9", ip: "10.2.0.9", dir: c.t.TempDir()})
		wait(6 * time.Second)
		c.killHistoryHost(3) // the successor must have copied by now
	}},
	{name: "a history host frozen", inject: func(c *cluster) {
		c.net.Freeze("10.2.0.0", true)
		wait(3 * time.Second)
		c.net.Freeze("10.2.0.0", false)
	}},
	{name: "a history host replaced while frozen, then back", inject: func(c *cluster) {
		c.net.Freeze("10.2.0.1", true)
		c.store.Cut("10.2.0.1", true)
		c.startHistoryHost(&historyHost{name: "h9", ip: "10.2.0.9", dir: c.t.TempDir()})
		wait(6 * time.Second)
		c.net.Freeze("10.2.0.1", false)
		wait(time.Second)
		c.store.Cut("10.2.0.1", false)
	}},
	{name: "history hosts split in halves", inject: func(c *cluster) {
		c.splitHistoryHosts(true)
		wait(4 * time.Second)
		c.splitHistoryHosts(false)
	}},
	{name: "an entry host cut off from all history hosts", inject: func(c *cluster) {
		for _, h := range c.historyHosts {
			c.net.Cut("10.1.0.0", h.ip, true)
		}
		wait(4 * time.Second)
		c.net.Heal()
	}},
	{name: "a link to one history host only, and then its disk is lost", inject: func(c *cluster) {
		for _, e := range c.entryHosts {
			for _, h := range c.historyHosts[1:] {
				c.net.Cut(e.ip, h.ip, true)
			}
		}
		wait(3 * time.Second)
		h := c.killHistoryHost(0)
		h.dir = c.t.TempDir()
		c.net.Heal()
		c.restartHistoryHost(h)
		wait(3 * time.Second)
	}},
	{name: "a history host that missed writes is one of two that answer", inject: func(c *cluster) {
		for _, e := range c.entryHosts {
			c.net.Cut(e.ip, "10.2.0.0", true)
		}
		wait(2 * time.Second)
		c.net.Heal()
		h := c.killHistoryHost(1)
		wait(2 * time.Second)
		c.restartHistoryHost(h)
	}},
	{name: "the platform down", inject: func(c *cluster) {
		c.store.SetDown(true)
		wait(6 * time.Second)
		c.store.SetDown(false)
	}},
	{name: "the platform loses answers and its history", inject: func(c *cluster) {
		c.store.LoseAnswers(3)
		h := c.killHistoryHost(0)
		h.dir = c.t.TempDir()
		c.restartHistoryHost(h)
		c.store.Forget()
		wait(3 * time.Second)
	}},
	{name: "a history host retired", inject: func(c *cluster) {
		c.retirements.mu.Lock()
		c.retirements.hosts = []string{"h1"}
		c.retirements.mu.Unlock()
		for !c.retirements.isDone("h1") {
			wait(100 * time.Millisecond)
		}
		c.killHistoryHost(1)
	}},
	{name: "targets lose answers", inject: func(c *cluster) {
		for _, e := range c.engines {
			e.LoseAnswers(3)
		}
		for _, e := range c.plainTargets {
			e.LoseAnswers(3)
		}
	}},
	{name: "a target behind a cut", inject: func(c *cluster) {
		for _, e := range c.entryHosts {
			c.net.Cut(e.ip, "10.3.7.1", true)
		}
		wait(4 * time.Second)
		c.net.Heal()
	}},
	{name: "a slow disk", inject: func(c *cluster) {
		c.historyHosts[0].disk.syncDelay.Store(int64(60 * time.Millisecond))
		wait(4 * time.Second)
		c.historyHosts[0].disk.syncDelay.Store(0)
	}},
	{name: "a disk that hangs", inject: func(c *cluster) {
		c.historyHosts[1].disk.syncDelay.Store(int64(3 * time.Second))
		wait(2 * time.Second)
		c.historyHosts[1].disk.syncDelay.Store(0)
		wait(2 * time.Second)
	}},
	{name: "a full disk while another host is cut off, then a third disk is lost", inject: func(c *cluster) {
		c.historyHosts[1].disk.full.Store(true)
		for _, e := range c.entryHosts {
			c.net.Cut(e.ip, "10.2.0.0", true)
		}
		wait(3 * time.Second)
		c.historyHosts[1].disk.full.Store(false)
		c.net.Heal()
		wait(time.Second)
		h := c.killHistoryHost(2)
		c.restartHistoryHost(&historyHost{name: h.name, ip: h.ip, dir: c.t.TempDir()})
		wait(3 * time.Second)
	}},
	{name: "clocks that jump ahead and back", inject: func(c *cluster) {
		for i, h := range c.historyHosts {
			h.clock.offset.Store(int64(clockJump))
			if i == 3 {
				h.clock.offset.Store(int64(-clockJump))
			}
		}
		wait(sweepDuration)
		for _, h := range c.historyHosts {
			h.clock.offset.Store(0)
		}
		wait(sweepDuration)
	}},
	{name: "the crowded data centre cut off", crowded: true, inject: func(c *cluster) {
		c.cutCrowdedDataCentre(true)
		wait(5 * time.Second)
		c.cutCrowdedDataCentre(false)
		wait(3 * time.Second)
	}},
	{name: "the crowded data centre cut off twice", crowded: true, inject: func(c *cluster) {
		for range 2 {
			c.cutCrowdedDataCentre(true)
			wait(3 * time.Second)
			c.cutCrowdedDataCentre(false)
			wait(400 * time.Millisecond)
		}
		wait(3 * time.Second)
	}},
	{name: "the crowded data centre cut off, and the disk outside lost meanwhile", crowded: true, inject: func(c *cluster) {
		c.cutCrowdedDataCentre(true)
		wait(3 * time.Second)
		h := c.killHistoryHost(2)
		c.restartHistoryHost(&historyHost{name: h.name, ip: h.ip, dir: c.t.TempDir()})
		wait(2 * time.Second)
		c.cutCrowdedDataCentre(false)
		wait(4 * time.Second)
	}},
	{name: "the disk outside lost just after the cut has healed", crowded: true, inject: func(c *cluster) {
		c.cutCrowdedDataCentre(true)
		wait(3 * time.Second)
		c.cutCrowdedDataCentre(false)
		wait(200 * time.Millisecond)
		h := c.killHistoryHost(2)
		c.restartHistoryHost(&historyHost{name: h.name, ip: h.ip, dir: c.t.TempDir()})
		wait(4 * time.Second)
	}},
	{name: "all history hosts killed while the crowded data centre is cut off", crowded: true, inject: func(c *cluster) {
		c.cutCrowdedDataCentre(true)
		wait(3 * time.Second)
		for i := range c.historyHosts {
			c.killHistoryHost(i)
		}
		for _, h := range c.historyHosts {
			c.restartHistoryHost(h)
		}
		wait(2 * time.Second)
		c.cutCrowdedDataCentre(false)
		wait(3 * time.Second)
	}},
	{name: "the platform away while the crowded data centre is cut off", crowded: true, inject: func(c *cluster) {
		c.cutCrowdedDataCentre(true)
		wait(2 * time.Second)
		c.store.SetDown(true)
		wait(2 * time.Second)
		c.store.SetDown(false)
		wait(time.Second)
		c.cutCrowdedDataCentre(false)
		wait(3 * time.Second)
	}},
	{name: "the history host outside killed", crowded: true, inject: func(c *cluster) {
		h := c.killHistoryHost(2)
		wait(2 * time.Second)
		c.restartHistoryHost(h)
		wait(2 * time.Second)
	}},
	{name: "two faults: a disk lost, an entry host killed", inject: func(c *cluster) {
		h := c.killHistoryHost(3)
		h.dir = c.t.TempDir()
		c.restartHistoryHost(h)
		e := c.killEntryHost(1)
		wait(time.Second)
		c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
	}},
}

// split cuts half of the history hosts off from the other half.
func (c *cluster) splitHistoryHosts(cut bool) {
	for i, a := range c.historyHosts {
		for j, b := range c.historyHosts {
			if i%2 == 0 && j%2 == 1 {
				c.net.Cut(a.ip, b.ip, cut)
			}
		}
	}
}
