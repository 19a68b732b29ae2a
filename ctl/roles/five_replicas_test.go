package roles

import "time"

// fiveReplicaCases run on seven history hosts, two disks of which may be lost at once. A slot
// has five replicas; turns are written to and read from three of them first.
var fiveReplicaCases = []faultCase{
	{name: "five replicas, no fault", fiveReplicas: true, planned: true, inject: func(*cluster) { wait(3 * time.Second) }},
	{name: "five replicas, two disks lost at once", fiveReplicas: true, inject: func(c *cluster) {
		c.loseDisks(0, 1)
		wait(4 * time.Second)
		c.loseDisks(2, 5)
		wait(4 * time.Second)
	}},
	{name: "five replicas, two history hosts killed and restarted", fiveReplicas: true, inject: func(c *cluster) {
		a, b := c.killHistoryHost(3), c.killHistoryHost(0)
		wait(2 * time.Second)
		c.restartHistoryHost(a)
		c.restartHistoryHost(b)
		wait(time.Second)
	}},
	{name: "five replicas, two history hosts frozen", fiveReplicas: true, inject: func(c *cluster) {
		for _, ip := range []string{"10.2.0.1", "10.2.0.4"} {
			c.net.SetFrozen(ip, true)
		}
		wait(2 * time.Second)
		c.net.Heal()
		wait(time.Second)
	}},
	{name: "five replicas, each entry host partitioned from two history hosts", fiveReplicas: true, inject: func(c *cluster) {
		for i, e := range c.entryHosts {
			for j := range 2 {
				c.net.SetPartitioned(e.ip, c.historyHosts[(2*i+j)%len(c.historyHosts)].ip, true)
			}
		}
		wait(2 * time.Second)
		c.net.Heal()
		wait(time.Second)
	}},
	{name: "five replicas, history host retired while two disks are lost", fiveReplicas: true, inject: func(c *cluster) {
		c.retirements.mu.Lock()
		c.retirements.hosts = []string{"h1"}
		c.retirements.mu.Unlock()
		wait(300 * time.Millisecond)
		c.loseDisks(3, 4)
		for !c.retirements.isDone("h1") {
			wait(100 * time.Millisecond)
		}
		c.killHistoryHost(1)
		wait(time.Second)
	}},
}

// loseDisks kills history hosts together and restarts them with empty disks.
func (c *cluster) loseDisks(hosts ...int) {
	var lost []*historyHost
	for _, i := range hosts {
		lost = append(lost, c.killHistoryHost(i))
	}
	for _, h := range lost {
		h.dir = c.t.TempDir()
		c.restartHistoryHost(h)
	}
}

// startFiveReplicas starts a cluster that tolerates the loss of two disks.
func (c *cluster) startFiveReplicas() *cluster {
	c.maxFaults = 2
	return c.start(7)
}
