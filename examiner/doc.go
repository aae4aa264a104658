// Package examiner detects backend servers that fail their requests or are slow, by the
// length and the time of their responses and by requests that they lose: an error page is
// much shorter than the usual response of a route.
//
// An Examiner reports single suspicions of one instance. An
// OutlierDetector counts the suspicious responses that the instances of a failure
// domain report, and decides which servers are ejected and for how long. Ejections
// holds the ejections in force and limits them to a part of each service.
package examiner
