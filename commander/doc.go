// Package commander is the command line of pimentowind.
package commander
