// Package director runs one instance on the users' platform: packets go from
// the socket through the steerer back to the socket, and the relayer keeps the
// view that the steerer decides by. The parts are wired with dig.
package director
