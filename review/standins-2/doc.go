// Command standins-2 shows the cases of the second review that are scripts. It starts entry
// hosts as processes and stands in for the callers, the upstreams and the platform's store on
// loopback addresses.
//
//	standins-2 CASE DAEMON FOLDER TROUBLE
//
// DAEMON is the daemon's executable, FOLDER receives record.txt, and TROUBLE is 0 for a run
// without the disruption. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main
