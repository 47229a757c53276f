// Package quota enforces limits that apply to the fleet as a unit: the rate and
// burst of a customer, the bits per second of a link, the caps of a shift and a
// drain, and the limit of a region.
//
// Each quota is split over the slots of all zones (Split, HeldSlots). A daemon
// spends from an Account that holds the shares of its slots, less the loans it
// has made to other daemons and plus the loans it has received (LentLoans,
// BorrowedLoans). Loans move rates, capacities and tokens between daemons and
// never create any, so the sums over the fleet never exceed the quota, without
// a leader. For each quota, the daemon with the most demand is the hub, which
// borrows the unused shares of the others; Plan decides which daemon borrows
// from which. A wrong plan lowers throughput but never admits more than the
// quota.
package quota
