// Package examiner finds backend servers that fail their requests, from the
// lengths of their responses: an error page is much shorter than what a route
// otherwise answers. An Examiner judges single responses, a Tally adds up the
// suspicions of many instances, and Holds keeps new flows off those that were
// found out, for a bounded time and a bounded part of a service.
package examiner
