package roles

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/ctl/standin"
)

// targetExpiry is how long the platform lists a target that has crashed.
const targetExpiry = 2 * time.Second

func (c *cluster) startTarget(service string, i int) *standin.TurnEngine {
	return c.startIncarnation(service, i, 0)
}

// startIncarnation starts a target for the n-th time. Each incarnation has an ID of its own.
func (c *cluster) startIncarnation(service string, i, n int) *standin.TurnEngine {
	e := &standin.TurnEngine{ID: fmt.Sprintf("%s-%d", service, i), Capacity: 8, Events: 5, EventDelay: 20 * time.Millisecond, LoseEvery: c.loseEvery}
	if n > 0 {
		e.ID += fmt.Sprintf(".%d", n)
	}
	if c.crashMarker != "" {
		e.CrashUnder(c.crashMarker, &c.crashAnswers, func() { c.restartCrashedTarget(e, service, i, n) })
		e.LeaveWith(func() { c.store.Remove(targetKind, e.ID) })
	}
	ip := fmt.Sprintf("10.3.%d.%d", len(service), i)
	server := c.serve(ip, e)
	c.mu.Lock()
	c.targetServers[e.ID] = server
	c.incarnations = append(c.incarnations, e)
	c.mu.Unlock()
	c.putTarget(e.ID, service, ip, i%len(c.historyHosts), false)
	return e
}

// restartCrashedTarget ends the process of a target and starts its next incarnation after some time.
// The platform removes the entry of the former one later.
func (c *cluster) restartCrashedTarget(e *standin.TurnEngine, service string, i, n int) {
	c.mu.Lock()
	server := c.targetServers[e.ID]
	c.mu.Unlock()
	_ = server.Close()
	c.stops.Go(func() {
		time.Sleep(time.Duration(20+150*((i+n)%4)) * time.Millisecond)
		c.startIncarnation(service, i, n+1)
		time.Sleep(targetExpiry)
		c.store.Remove(targetKind, e.ID)
	})
}

// leaveTime is how long a target serves on after the platform knows that it leaves.
const leaveTime = 2500 * time.Millisecond

// retireTarget makes a target leave by plan. One that announces it is listed as draining until it ends, any
// other leaves the list at once.
func (c *cluster) retireTarget(service string, i int, announces bool) {
	id := fmt.Sprintf("%s-%d", service, i)
	if announces {
		c.putTarget(id, service, fmt.Sprintf("10.3.%d.%d", len(service), i), i%len(c.historyHosts), true)
	} else {
		c.store.Remove(targetKind, id)
	}
	c.mu.Lock()
	server := c.targetServers[id]
	c.mu.Unlock()
	c.stops.Go(func() {
		time.Sleep(leaveTime)
		_ = server.Close()
		c.store.Remove(targetKind, id)
	})
}

func (c *cluster) serve(ip string, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard).StandardLog()}
	l := c.net.Listen(ip + ":80")
	go func() { _ = s.Serve(l) }()
	return s
}

// putTarget writes a target's object to the platform's store.
func (c *cluster) putTarget(id, service, ip string, i int, draining bool) {
	c.put(balance.TargetInfo{ID: id, Service: service, Address: ip + ":80", DataCentre: fmt.Sprintf("dc%d", i), Capacity: 8, Draining: draining})
}

// putVersionedTarget is putTarget for a target of a software version.
func (c *cluster) putVersionedTarget(id, service, ip string, i int, version string) {
	c.put(balance.TargetInfo{ID: id, Service: service, Address: ip + ":80", DataCentre: fmt.Sprintf("dc%d", i), Capacity: 8, SoftwareVersion: version})
}

func (c *cluster) put(target balance.TargetInfo) {
	text, err := json.Marshal(target)
	require.NoError(c.t, err)
	c.store.Put(targetKind, target.ID, text)
}

func decodeTarget(id string, spec []byte) (balance.TargetInfo, error) {
	var info balance.TargetInfo
	err := json.Unmarshal(spec, &info)
	return info, err
}
