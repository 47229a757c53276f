// Package compare evaluates a change of policy with paired benchmark runs: the version
// before and the version after on the same deployment, day and seed.
//
// A single seed is not conclusive, because the same change can improve the score on one
// seed and lower it on the next. So the mean difference is reported with its standard
// error, and a difference of at most two standard errors is reported as "inside the
// spread".
package compare
