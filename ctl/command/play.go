package command

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/ctl/player"
)

// playOptions are the options of replay for load patterns.
type playOptions struct {
	Pattern string  `long:"pattern" value-name:"FILE.ini" description:"load pattern to play, instead of a trace"`
	Fleet   string  `long:"fleet" value-name:"FILE.ini" default:"traces/load/small.ini" description:"hosts, targets and callers of a pattern"`
	Hosts   int     `long:"hosts" description:"number of entry hosts, instead of the fleet's"`
	Seeds   uint64  `long:"seeds" default:"1" description:"number of seeds to play a pattern with, starting at --seed"`
	Load    float64 `long:"load" default:"1" description:"factor for the load of a pattern's bursts"`
}

// play plays a pattern under one policy or all policies.
func (c *replayCommand) play() error {
	f, err := player.ReadFleet(c.Fleet)
	if err != nil {
		return err
	}
	p, err := player.ReadPattern(c.Pattern)
	if err != nil {
		return err
	}
	if c.Hosts > 0 {
		f.Hosts = c.Hosts
	}
	p.ScaleBursts(c.Load)
	policies := player.Policies()
	if c.Policy != "all" {
		one, err := player.FindPolicy(c.Policy)
		if err != nil {
			return err
		}
		policies = []player.Policy{one}
	}
	var results []*player.Result
	for _, policy := range policies {
		for i := range c.Seeds {
			c.app.progress("%s under %s, seed %d", p.Name, policy.Name, c.Seed+i)
			results = append(results, player.Run(f, p, policy, c.Seed+i))
		}
	}
	c.app.endProgress()
	if c.Plot != "" {
		if err := player.Plot(results, c.Plot); err != nil {
			return err
		}
	}
	return c.printPatternResults(results)
}

func (c *replayCommand) printPatternResults(results []*player.Result) error {
	if c.app.globals.Output == "json" {
		e := json.NewEncoder(c.app.out)
		for _, r := range results {
			if err := e.Encode(r); err != nil {
				return failure.Wrap(err, failure.Internal, "output")
			}
		}
		return nil
	}
	var rows []string
	for _, r := range results {
		rows = append(rows, row(r.Pattern, r.Policy, r.Seed, r.Programs, r.InTime, r.Late, r.Failed, r.TurnedAway,
			fmt.Sprintf("%.3f", r.Score()), fmt.Sprintf("%.3f", r.WorstScore()), formatScoreRange(r.Classes), formatScoreRange(r.Centres), fmt.Sprintf("%.2f", r.LowestSubjectScore()),
			formatQuantiles(r.First), formatQuantiles(r.Stretch), r.ReadAgain, r.Connections, r.RecoveryTime().Round(time.Second)))
	}
	return c.app.print(results, "PATTERN\tPOLICY\tSEED\tPROGRAMS\tIN TIME\tLATE\tFAILED\tTURNED AWAY\tWORTH\tWORST 2 S\tCLASS\tCENTRE\tSUBJECT\tFIRST MS\tTIME/AIM %\tREAD AGAIN\tCONNECTIONS\tWELL AGAIN AFTER", rows)
}

// formatQuantiles formats the 50th, 95th and 99th percentile.
func formatQuantiles(q player.Quantiles) string { return fmt.Sprintf("%d/%d/%d", q.P50, q.P95, q.P99) }

// formatScoreRange formats the lowest and the highest score of the groups.
func formatScoreRange(groups map[string]*player.Window) string {
	low, high := 1.0, 0.0
	for _, x := range groups {
		low, high = min(low, x.Score()), max(high, x.Score())
	}
	return fmt.Sprintf("%.2f-%.2f", low, high)
}
