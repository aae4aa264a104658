// Package commander implements the command line of pimentowind: it runs load balancer
// instances, checks settings files, sheets and calendars, loads sheets and calendars
// into the platform, and creates the instances' keys. Run takes the arguments and
// returns the exit code of the process.
package commander
