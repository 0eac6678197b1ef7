package target

import (
	"slices"
	"time"
)

// versionMemory is how long a version is remembered after its last target was dropped. Targets are dropped forgetAfter after
// they left, or as another incarnation replaces them.
const versionMemory = forgetAfter

// serviceVersions are the software versions of a service's targets.
type serviceVersions struct {
	targets map[string]int       // by version, those that are known
	gone    map[string]time.Time // when the last target of a version was dropped
}

func (r *Registry) versionsOf(service string) *serviceVersions {
	v := r.versions[service]
	if v == nil {
		v = &serviceVersions{targets: map[string]int{}, gone: map[string]time.Time{}}
		r.versions[service] = v
	}
	return v
}

func (v *serviceVersions) added(version string) {
	v.targets[version]++
	delete(v.gone, version)
}

func (v *serviceVersions) dropped(version string, now time.Time) {
	if v.targets[version]--; v.targets[version] <= 0 {
		delete(v.targets, version)
		v.gone[version] = now
	}
}

// forget forgets the versions that have been gone for versionMemory.
func (v *serviceVersions) forget(now time.Time) {
	for version, at := range v.gone {
		if now.Sub(at) > versionMemory {
			delete(v.gone, version)
		}
	}
}

// RecentVersions lists the software versions that a service's targets have had within forgetAfter at least.
func (r *Registry) RecentVersions(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.versions[service]
	if v == nil {
		return nil
	}
	list := make([]string, 0, len(v.targets)+len(v.gone))
	for version := range v.targets {
		list = append(list, version)
	}
	for version := range v.gone {
		list = append(list, version)
	}
	slices.Sort(list)
	return list
}

// HasVersion reports whether a service has a target of a version that takes requests, be it for a short time.
func (r *Registry) HasVersion(service, version string) bool {
	return slices.Contains(r.ServingVersions(service), version)
}

// ServingVersions lists the software versions of a service's targets that take requests, be it for a short time.
func (r *Registry) ServingVersions(service string) (list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, t := range r.services[service] {
		if t.ready() || now.Sub(t.leavingSince) < r.opts.DrainLimit {
			list = append(list, t.Version)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
