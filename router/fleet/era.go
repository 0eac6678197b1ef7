package fleet

// ConfirmEra announces that this host has written again what a restored log had lost of its grants, and the host
// itself, whose announcement the log may have lost, too.
func (f *Fleet) ConfirmEra(era int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era > f.confirmedEra {
		f.confirmedEra = era
		f.requestAnnouncement()
	}
}

func (f *Fleet) ownConfirmedEra() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedEra
}

// HostsConfirmed reports whether all other active hosts have confirmed an era.
func (f *Fleet) HostsConfirmed(era int64) bool { return f.Unconfirmed(era) == 0 }

// Unconfirmed counts the other active hosts that have not confirmed an era. A host that replaces a dead one of the same
// name does not confirm for it, so it counts as well.
func (f *Fleet) Unconfirmed(era int64) (hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, peer := range f.hosts {
		if f.isActive(name, peer) && peer.host.ConfirmedEra < era {
			hosts++
		}
	}
	return hosts
}

// LogIsNew reports whether hosts have just begun to use the log: as this host first read the announcements, none of
// the hosts had announced itself more than once.
func (f *Fleet) LogIsNew() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topicRead && f.initialEnd <= int64(len(f.hosts))
}

// requestAnnouncement makes the next announcement due.
func (f *Fleet) requestAnnouncement() {
	select {
	case f.announceNow <- struct{}{}:
	default:
	}
}
