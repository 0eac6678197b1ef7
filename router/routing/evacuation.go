package routing

// Evacuation is the operator's order that the targets of a failure domain get nothing new,
// until it is taken back. What they have begun they end.
type Evacuation struct {
	Domain  string
	InForce bool // false: it was taken back
}
