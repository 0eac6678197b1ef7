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
func (f *Fleet) HostsConfirmed(era int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, peer := range f.hosts {
		if f.isActive(name, peer) && peer.host.ConfirmedEra < era {
			return false
		}
	}
	return true
}

// requestAnnouncement makes the next announcement due.
func (f *Fleet) requestAnnouncement() {
	select {
	case f.announceNow <- struct{}{}:
	default:
	}
}
