// Package crash holds a simulation of gateways, runners and crashing workers, which checks that only jobs with a task that
// crashes workers, or whose tasks failed too often, are answered as failed. It has only tests.
package crash
