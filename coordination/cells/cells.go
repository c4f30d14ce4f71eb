// Package cells assigns the replicas of a service to cells. Each cell has its
// own owner, the instance that schedules the work for its replicas. All
// instances with the same list compute the same assignment.
//
// An owner's state about a replica (cached prompts, stored results, requests in
// flight) is lost when the replica moves to another cell, so adding or removing
// a replica should move few others. Each replica therefore ranks the cells by
// rendezvous hashing and takes the first with free capacity, in an order that
// depends on the replica IDs alone (consistent hashing with bounded loads;
// Mirrokni, Thorup and Zadimoghaddam, 2018). Cell sizes differ by at most one.
package cells

// orderKey makes the order in which replicas choose independent of their
// ranking of the cells.
const orderKey = "order"
