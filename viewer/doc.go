// Package viewer keeps what an instance knows of the deployment: the
// configuration in force and the backend servers that may be used. A Viewer
// takes facts in any order and from any source and never goes back to an older
// one; readers get an immutable View.
package viewer
