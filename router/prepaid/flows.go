package prepaid

// Totals is where the tokens of this incarnation's part of a budget came from and went to,
// summed since its start. They balance to the token at any time:
//
//	Taken + Borrowed + Recalled + Received = Returned + Lent + Given + Used + free + reserved
//
// Over all incarnations that ever were, Taken - Returned is what the account says is
// granted, but for an append whose fate is not known yet.
type Totals struct {
	Taken    int64 // from the log
	Returned int64 // to the log
	Borrowed int64 // from other hosts
	Lent     int64 // to other hosts
	Recalled int64 // loans whose borrower never used them
	Given    int64 // to other hosts, for good
	Received int64 // gifts of other hosts
	Used     int64 // by requests
}

// Balance is what the flows leave: free and reserved tokens.
func (f Totals) Balance() int64 {
	return f.Taken + f.Borrowed + f.Recalled + f.Received - f.Returned - f.Lent - f.Given - f.Used
}
