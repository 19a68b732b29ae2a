// Package standin holds small stand-ins for what pistachioarch meets: the
// platform's object API, a model engine, a plain service. They speak the
// published protocols, keep what they saw for later checks, and have faults that
// a person or a test can switch while they run:
//
//	GET  /faults          the switches
//	PUT  /faults          replaces them (JSON)
//	PUT  /faults/die      ends the process at once (pistachioctl standin)
package standin
