package prepaid

// Holding is this host's part of a budget.
type Holding struct {
	Organisation string
	Free         int64
	Reserved     int64
	Granted      int64 // to all hosts, as last seen
	Limit        int64
	WrittenOff   int64 // part of Granted that a restored log may have lost, as last seen
	Era, Offset  int64 // of the account's newest record seen
	Keeper       bool  // the host holds tokens for others too
	Wanted       int64 // how many tokens a keeper is to hold
	Totals       Totals
}

// Holdings lists this host's parts of all budgets.
func (a *Allocator) Holdings() []Holding {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]Holding, 0, len(a.allocations))
	for organisation, al := range a.allocations {
		list = append(list, al.holding(organisation))
	}
	return list
}

// Holding is this host's part of one budget.
func (a *Allocator) Holding(organisation string) (Holding, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil {
		return Holding{}, false
	}
	return al.holding(organisation), true
}

// holding is this host's part of the budget of an organisation.
func (al *allocation) holding(organisation string) Holding {
	return Holding{
		Organisation: organisation, Free: al.free, Reserved: al.reserved,
		Granted: al.account.Granted, Limit: al.limit, WrittenOff: al.account.WrittenOff, Era: al.recorded.position.Era, Offset: al.recorded.position.Offset, Keeper: al.keeperSize > 0, Wanted: al.keeperSize, Totals: al.totals,
	}
}
