// Package viewer keeps what an instance knows of the deployment: the
// configuration in force, the list of backend servers, and the failure domains that
// operators have evacuated.
//
// A Viewer accepts configurations, lists and evacuations in any order, from the platform's
// store or from other instances, and rejects those that are not newer than its
// own. Current returns the result as a View, an immutable snapshot that can be
// read without a lock. ServerDelta and RouteDelta describe the difference of two
// lists or configurations, so that an instance can send only what changed.
package viewer
