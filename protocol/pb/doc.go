// Package pb holds the protobuf messages between the system's own processes, generated
// from quince.proto by "make proto". Builds of several releases run concurrently, so a
// change must remain readable to the builds of earlier releases; a test checks this with
// messages that those builds recorded in testdata.
package pb
