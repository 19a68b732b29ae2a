// Package sched decides where and in which order calls run.
//
// A Scheduler holds the targets that are declared, what is known of their load
// and memory, and one queue per service. The caller of the package enqueues
// items, and after each change of state takes placements with Next until there
// is none. Policies are interchangeable; the product's is "default", the others
// are baselines for measurements.
//
// Load is estimated, since reports lag: a target's load is what this host has
// sent and not seen finished, plus what its peers say in their heartbeats.
package sched
