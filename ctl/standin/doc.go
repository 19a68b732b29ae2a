// Package standin provides test doubles of the external systems that pistachioarch
// talks to: the platform's object API, a model engine and a plain service. They
// serve the published protocols, record what they received for later checks, and
// have faults that an operator or a test can change while they run:
//
//	GET  /faults          returns the active faults (JSON)
//	PUT  /faults          replaces them (JSON)
//	PUT  /faults/die      ends the process at once (only in pistachioctl standin)
package standin
