// Package configurer reads and checks the JSON settings of an instance.
package configurer
