/** Kinds of messages between two processes. Each is also the name of the task's action that answers it. */
export enum PeerMessageKind {
  AcquireSlot = 'dispatcher.acquire',
  ReleaseSlot = 'dispatcher.release',
  CancelRequest = 'dispatcher.cancel',
  SummariseCells = 'dispatcher.summarise',
  PushSummaries = 'router.summaries',
  ListHeldSlots = 'router.held',
  AskLimit = 'limits.ask',
  NoteLoss = 'quarantine.note',
  ClearSuspect = 'quarantine.clear',
  ExplainRequest = 'decisions.explain',
  KeepDecisions = 'archive.keep',
  CommitRecord = 'ledger.commit',
  ReadClaim = 'ledger.claim',
  ReadBatch = 'ledger.batch',
  OpenBatch = 'batches.open',
  Probe = 'member.probe',
  Membership = 'member.gossip',
  CheckCatalogue = 'catalogue.check',
  FetchCatalogue = 'catalogue.fetch',
  FetchParts = 'catalogue.parts',
  AnnounceCatalogue = 'catalogue.announce'
}
