// Package sched decides where and in which order calls run.
//
// A Scheduler holds the declared targets, estimates of their load and memory, and
// one queue per service. The caller of the package enqueues items, and after each
// change of state takes placements with Next until there are none. Policies are
// interchangeable: the product uses "default", the others are baselines for
// measurements.
//
// Load is estimated because reports lag: a target's load is the number of calls
// that this host has in flight there, plus those that its peers report in their
// heartbeats.
//
// Times are durations since a fixed instant that the caller of the package chooses.
package sched
