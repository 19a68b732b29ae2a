package balance

import "time"

// VersionLog records since when the targets of each service have had only one software version. The zero
// value is ready to use.
type VersionLog struct {
	services map[string]loneVersion
}

// loneVersion is the only software version of a service's targets since a time; empty while there are several.
type loneVersion struct {
	version string
	since   time.Duration
}

// Observe records the software versions that the targets of a service have now. While no target is listed the
// service keeps the version that it had.
func (l *VersionLog) Observe(service string, versions []string, now time.Duration) {
	if len(versions) == 0 {
		return
	}
	lone := ""
	if len(versions) == 1 {
		lone = versions[0]
	}
	if last, known := l.services[service]; known && last.version == lone {
		return
	}
	if l.services == nil {
		l.services = map[string]loneVersion{}
	}
	l.services[service] = loneVersion{version: lone, since: now}
}

// Restart records that versions may have been missed until now.
func (l *VersionLog) Restart(now time.Duration) {
	for service, lone := range l.services {
		lone.since = now
		l.services[service] = lone
	}
}

// Lone returns the only software version that targets of a service have had for at least age; false if there
// is none.
func (l *VersionLog) Lone(service string, age, now time.Duration) (version string, ok bool) {
	lone := l.services[service]
	return lone.version, lone.version != "" && now-lone.since >= age
}
