package control

// QueueLength is the number of events that can be queued before Post blocks.
const QueueLength = queueLength
