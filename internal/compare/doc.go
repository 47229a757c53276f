// Package compare judges a change of policy by pairs of plays: the version before and the
// version after on the same deployment, day and seed.
//
// One seed proves nothing: the same change can gain on one and lose on the next. So the
// mean difference stands beside its standard error, and a difference that is smaller than
// twice that is called inside the spread.
package compare
