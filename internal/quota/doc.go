// Package quota admits requests against everything that counts over the whole
// fleet: a customer's rate and burst, a link's bits per second, a shift's cap.
//
// Each quota is cut over the slots of all zones (Cuts, Shape). A daemon spends
// from an Account over the shares of the slots it holds, less what it lends
// and plus what it borrows (Lender, Borrower). Rates, capacities and tokens
// only ever move between daemons, so their sums over the fleet never exceed
// the quota, without any leader. Plan decides who asks whom; a wrong plan
// costs goodput and never admits too much.
package quota
