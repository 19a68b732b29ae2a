package player

import (
	"math/rand/v2"
	"time"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// plainTarget models a target of a plain service: up to Capacity requests run at once, up to
// MaxQueue wait, and each has its own work time.
type plainTarget struct {
	sim        *simulation
	settings   PlainSettings
	dataCentre string
	id         string
	slowdown   float64 // how many times slower than usual, without noise
	noise      *noise
	running    int
	waiting    []*job
}

// job is one request at a plain target.
type job struct {
	workTime  time.Duration      // at the usual speed
	onDone    func(request.Load) // gets the load report of the answer
	cancelled bool
	started   bool
	finished  bool
}

func newPlainTarget(sim *simulation, settings PlainSettings, index int, id, dataCentre string, rng *rand.Rand) *plainTarget {
	slowdown := slowdownOf(settings.Slowdowns, index) * (1 + settings.SlowdownSpread*(2*rng.Float64()-1))
	return &plainTarget{sim: sim, settings: settings, id: id, dataCentre: dataCentre, slowdown: slowdown, noise: newNoise(sim, sim.fleet.Engines.Count+index)}
}

func (p *plainTarget) loadReport() request.Load {
	return p.noise.annotate(request.Load{Running: p.running, Waiting: len(p.waiting), Capacity: p.settings.Capacity})
}

// submit queues a job and reports whether there was space in the queue.
func (p *plainTarget) submit(j *job) bool {
	if len(p.waiting) >= p.settings.MaxQueue {
		return false
	}
	p.waiting = append(p.waiting, j)
	p.startJobs()
	return true
}

// startJobs starts waiting jobs while there is capacity.
func (p *plainTarget) startJobs() {
	for p.running < p.settings.Capacity && len(p.waiting) > 0 {
		j := p.waiting[0]
		p.waiting = p.waiting[1:]
		if j.cancelled {
			continue
		}
		p.running++
		j.started = true
		p.sim.After(time.Duration(float64(j.workTime)*p.slowdown*p.noise.slowdown()), func() {
			if j.cancelled {
				return
			}
			j.finished = true
			report := p.loadReport()
			p.running--
			j.onDone(report)
			p.startJobs()
		})
	}
}

// cancel drops a job whose sender has closed the connection.
func (p *plainTarget) cancel(j *job) {
	if j.cancelled || j.finished {
		return
	}
	j.cancelled = true
	if j.started {
		p.running--
		p.startJobs()
	}
}
