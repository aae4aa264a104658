// Package configurer reads the settings file of an instance, a JSON document, fills
// in defaults and validates it. Read is for instances that package balancer runs,
// ReadPlatformSettings for those that package director runs; both return all findings
// of a file together.
package configurer
