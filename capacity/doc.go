// Package capacity holds benchmarks of the traffic, table calls, CPU time and memory of an instance at several fleet
// sizes. docs/CAPACITY.md lists their results and derives the design size from them.
package capacity
