package budget

// OverShare reports that one of several holders has to give up what it holds, own bytes of held: all of them hold more than the
// limit, and this one more than its equal share of that. Those with less are spared, whoever comes last. A limit of 0 is none.
func OverShare(limit, held, own int64, holders int) bool {
	return limit > 0 && held > limit && own > limit/int64(max(holders, 1))
}
