// Command rig plays one case of the third review: it starts instances of the load balancer as
// processes of their own, and stands in for the store, the operator, the routers, the backend
// servers and the callers of a small deployment. All addresses are loopback addresses.
package main
