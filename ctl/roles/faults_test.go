package roles

import "time"

// faultCase is a fault that is injected while programs run.
type faultCase struct {
	name   string
	inject func(c *cluster)
	// planned cases must not interrupt any request.
	planned bool
	// crowded cases run on three history hosts, two of which are in one data centre.
	crowded bool
	// fiveReplicas is set for fiveReplicaCases.
	fiveReplicas bool
}

const (
	// clockJump is the size of clock jumps: most of the extra time for which turns are stored
	// beyond their retention.
	clockJump = 12 * time.Second
	// sweepDuration is long enough for history hosts to remove expired records.
	sweepDuration = 6 * time.Second
)

func wait(d time.Duration) { time.Sleep(d) }

var faultCases = []faultCase{
	{name: "no fault", planned: true, inject: func(*cluster) {}},
	{name: "ten configuration changes in one second", planned: true, inject: func(c *cluster) {
		for range 10 {
			c.configure(9 * time.Second)
			wait(100 * time.Millisecond)
		}
	}},
	{name: "rolling restart of entry hosts", planned: true, inject: func(c *cluster) {
		for i := range c.entryHosts {
			c.rollEntryHost(i)
		}
	}},
	{name: "entry host killed and restarted", inject: func(c *cluster) {
		e := c.killEntryHost(0)
		wait(time.Second)
		c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
	}},
	{name: "history host killed and restarted", inject: func(c *cluster) {
		h := c.killHistoryHost(0)
		wait(2 * time.Second)
		c.restartHistoryHost(h)
	}},
	{name: "history host killed and restarted while platform is down", inject: func(c *cluster) {
		c.store.SetDown(true)
		h := c.killHistoryHost(1)
		wait(3 * time.Second)
		c.restartHistoryHost(h)
		wait(3 * time.Second)
		c.store.SetDown(false)
	}},
	{name: "all entry and history hosts killed at once and restarted", inject: func(c *cluster) {
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
	{name: "all history hosts killed and restarted while platform is down", inject: func(c *cluster) {
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
	{name: "disks of all history hosts lost one after the other", inject: func(c *cluster) {
		for i := range c.historyHosts {
			h := c.killHistoryHost(i)
			wait(time.Second)
			h.dir = c.t.TempDir()
			c.restartHistoryHost(h)
			wait(4 * time.Second)
		}
	}},
	{name: "history host lost for good and replaced, then another lost", inject: func(c *cluster) {
		c.killHistoryHost(2)
		wait(2 * time.Second)
		c.startHistoryHost(&historyHost{name: "h9", ip: "10.2.0.9", dir: c.t.TempDir()})
		wait(6 * time.Second)
		c.killHistoryHost(3) // the new host must have copied its slots by now
	}},
	{name: "history host frozen and resumed", inject: func(c *cluster) {
		c.net.SetFrozen("10.2.0.0", true)
		wait(3 * time.Second)
		c.net.SetFrozen("10.2.0.0", false)
	}},
	{name: "history host replaced while frozen, then resumed", inject: func(c *cluster) {
		c.net.SetFrozen("10.2.0.1", true)
		c.store.SetPartitioned("10.2.0.1", true)
		c.startHistoryHost(&historyHost{name: "h9", ip: "10.2.0.9", dir: c.t.TempDir()})
		wait(6 * time.Second)
		c.net.SetFrozen("10.2.0.1", false)
		wait(time.Second)
		c.store.SetPartitioned("10.2.0.1", false)
	}},
	{name: "history hosts partitioned into halves", inject: func(c *cluster) {
		c.splitHistoryHosts(true)
		wait(4 * time.Second)
		c.splitHistoryHosts(false)
	}},
	{name: "entry host partitioned from all history hosts", inject: func(c *cluster) {
		for _, h := range c.historyHosts {
			c.net.SetPartitioned("10.1.0.0", h.ip, true)
		}
		wait(4 * time.Second)
		c.net.Heal()
	}},
	{name: "only one history host reachable from entry hosts, then its disk lost", inject: func(c *cluster) {
		for _, e := range c.entryHosts {
			for _, h := range c.historyHosts[1:] {
				c.net.SetPartitioned(e.ip, h.ip, true)
			}
		}
		wait(3 * time.Second)
		h := c.killHistoryHost(0)
		h.dir = c.t.TempDir()
		c.net.Heal()
		c.restartHistoryHost(h)
		wait(3 * time.Second)
	}},
	{name: "history host missed writes, then another killed so that two replicas answer", inject: func(c *cluster) {
		for _, e := range c.entryHosts {
			c.net.SetPartitioned(e.ip, "10.2.0.0", true)
		}
		wait(2 * time.Second)
		c.net.Heal()
		h := c.killHistoryHost(1)
		wait(2 * time.Second)
		c.restartHistoryHost(h)
	}},
	{name: "platform down", inject: func(c *cluster) {
		c.store.SetDown(true)
		wait(6 * time.Second)
		c.store.SetDown(false)
	}},
	{name: "platform loses write replies and its watch history while a disk is lost", inject: func(c *cluster) {
		c.store.LoseAnswers(3)
		h := c.killHistoryHost(0)
		h.dir = c.t.TempDir()
		c.restartHistoryHost(h)
		c.store.DropHistory()
		wait(3 * time.Second)
	}},
	{name: "history host retired", inject: func(c *cluster) {
		c.retirements.mu.Lock()
		c.retirements.hosts = []string{"h1"}
		c.retirements.mu.Unlock()
		for !c.retirements.isDone("h1") {
			wait(100 * time.Millisecond)
		}
		c.killHistoryHost(1)
	}},
	{name: "targets break connections after running requests", inject: func(c *cluster) {
		for _, e := range c.engines {
			e.LoseAnswers(3)
		}
		for _, e := range c.plainTargets {
			e.LoseAnswers(3)
		}
	}},
	{name: "target unreachable from entry hosts", inject: func(c *cluster) {
		for _, e := range c.entryHosts {
			c.net.SetPartitioned(e.ip, "10.3.7.1", true)
		}
		wait(4 * time.Second)
		c.net.Heal()
	}},
	{name: "slow disk of a history host", inject: func(c *cluster) {
		c.historyHosts[0].disk.syncDelay.Store(int64(60 * time.Millisecond))
		wait(4 * time.Second)
		c.historyHosts[0].disk.syncDelay.Store(0)
	}},
	{name: "hanging disk of a history host", inject: func(c *cluster) {
		c.historyHosts[1].disk.syncDelay.Store(int64(3 * time.Second))
		wait(2 * time.Second)
		c.historyHosts[1].disk.syncDelay.Store(0)
		wait(2 * time.Second)
	}},
	{name: "full disk while another history host is unreachable, then a third disk lost", inject: func(c *cluster) {
		c.historyHosts[1].disk.full.Store(true)
		for _, e := range c.entryHosts {
			c.net.SetPartitioned(e.ip, "10.2.0.0", true)
		}
		wait(3 * time.Second)
		c.historyHosts[1].disk.full.Store(false)
		c.net.Heal()
		wait(time.Second)
		h := c.killHistoryHost(2)
		c.restartHistoryHost(&historyHost{name: h.name, ip: h.ip, dir: c.t.TempDir()})
		wait(3 * time.Second)
	}},
	{name: "clocks of history hosts jump forwards and backwards", inject: func(c *cluster) {
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
	{name: "crowded data centre partitioned", crowded: true, inject: func(c *cluster) {
		c.partitionCrowdedDataCentre(true)
		wait(5 * time.Second)
		c.partitionCrowdedDataCentre(false)
		wait(3 * time.Second)
	}},
	{name: "crowded data centre partitioned twice", crowded: true, inject: func(c *cluster) {
		for range 2 {
			c.partitionCrowdedDataCentre(true)
			wait(3 * time.Second)
			c.partitionCrowdedDataCentre(false)
			wait(400 * time.Millisecond)
		}
		wait(3 * time.Second)
	}},
	{name: "outside replica's disk lost while crowded data centre is partitioned", crowded: true, inject: func(c *cluster) {
		c.partitionCrowdedDataCentre(true)
		wait(3 * time.Second)
		h := c.killHistoryHost(2)
		c.restartHistoryHost(&historyHost{name: h.name, ip: h.ip, dir: c.t.TempDir()})
		wait(2 * time.Second)
		c.partitionCrowdedDataCentre(false)
		wait(4 * time.Second)
	}},
	{name: "outside replica's disk lost 200 ms after partition of crowded data centre healed", crowded: true, inject: func(c *cluster) {
		c.partitionCrowdedDataCentre(true)
		wait(3 * time.Second)
		c.partitionCrowdedDataCentre(false)
		wait(200 * time.Millisecond)
		h := c.killHistoryHost(2)
		c.restartHistoryHost(&historyHost{name: h.name, ip: h.ip, dir: c.t.TempDir()})
		wait(4 * time.Second)
	}},
	{name: "all history hosts killed while crowded data centre is partitioned", crowded: true, inject: func(c *cluster) {
		c.partitionCrowdedDataCentre(true)
		wait(3 * time.Second)
		for i := range c.historyHosts {
			c.killHistoryHost(i)
		}
		for _, h := range c.historyHosts {
			c.restartHistoryHost(h)
		}
		wait(2 * time.Second)
		c.partitionCrowdedDataCentre(false)
		wait(3 * time.Second)
	}},
	{name: "platform down while crowded data centre is partitioned", crowded: true, inject: func(c *cluster) {
		c.partitionCrowdedDataCentre(true)
		wait(2 * time.Second)
		c.store.SetDown(true)
		wait(2 * time.Second)
		c.store.SetDown(false)
		wait(time.Second)
		c.partitionCrowdedDataCentre(false)
		wait(3 * time.Second)
	}},
	{name: "outside history host killed and restarted", crowded: true, inject: func(c *cluster) {
		h := c.killHistoryHost(2)
		wait(2 * time.Second)
		c.restartHistoryHost(h)
		wait(2 * time.Second)
	}},
	{name: "disk of a history host lost and entry host killed", inject: func(c *cluster) {
		h := c.killHistoryHost(3)
		h.dir = c.t.TempDir()
		c.restartHistoryHost(h)
		e := c.killEntryHost(1)
		wait(time.Second)
		c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
	}},
}

// splitHistoryHosts partitions the history hosts into two halves, or reconnects the halves if
// partitioned is false.
func (c *cluster) splitHistoryHosts(partitioned bool) {
	for i, a := range c.historyHosts {
		for j, b := range c.historyHosts {
			if i%2 == 0 && j%2 == 1 {
				c.net.SetPartitioned(a.ip, b.ip, partitioned)
			}
		}
	}
}
