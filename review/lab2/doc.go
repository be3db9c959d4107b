// Command lab2 plays the cases 6 to 10 of the review. It holds small stand-ins of the platform (store, workers, machine
// service, operator and clients) and starts the scheduler instances as separate processes with the command and the
// settings template of the deploy file. Each case writes what was sent, answered and run to record.txt in its folder.
//
//	lab2 CASE FOLDER
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment a case leaves its disruption out.
package main
