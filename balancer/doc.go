// Package balancer runs one instance of the load balancer. It takes the settings,
// hands packets from the forwarder and messages from the messenger to the decider
// and carries out its verdicts, and stops the instance gracefully when its context
// ends.
//
// Engine gives the concurrent goroutines access to the decider, Synchronizer
// exchanges sheets, the list of instances and statuses with the platform's store,
// and Admin serves operators over HTTP. The components are wired with dig.
package balancer
