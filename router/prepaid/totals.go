package prepaid

// Totals sums, since the start of this incarnation, the tokens that entered and left this host's
// part of a budget. At any time this holds exactly:
//
//	Taken + Borrowed + Recalled + Received = Returned + Lent + Given + Used + free + reserved
//
// Over all incarnations that ever ran, Taken - Returned equals the account's Granted, except for
// appends whose outcome is not known yet.
type Totals struct {
	Taken    int64 // from the log
	Returned int64 // to the log
	Borrowed int64 // from other hosts
	Lent     int64 // to other hosts
	Recalled int64 // loans that the borrower did not use
	Given    int64 // transferred to other hosts for good
	Received int64 // transferred from other hosts
	Used     int64 // by requests
}

// Balance is the sum of free and reserved tokens that follows from the totals.
func (t Totals) Balance() int64 {
	return t.Taken + t.Borrowed + t.Recalled + t.Received - t.Returned - t.Lent - t.Given - t.Used
}
