/**
 * How messages of one type are laid out on a link. A conversation without a
 * layout sends its messages with the names of all their fields.
 */
export interface MessageLayout<T> {
  /** Returns the value that is sent for a message. */
  readonly pack: (message: T) => unknown;
  /**
   * Returns the message of a received value, which is checked afterwards;
   * `undefined` if the value has another layout. Must not throw.
   */
  readonly unpack: (packed: unknown) => unknown;
}

/** The layouts of the messages of a conversation. */
export interface ConversationLayout<Opening, ClientMessage, ServerMessage> {
  readonly opening: MessageLayout<Opening>;
  readonly clientMessage: MessageLayout<ClientMessage>;
  readonly serverMessage: MessageLayout<ServerMessage>;
}

/** Sends a message as it is. */
export const PLAIN_LAYOUT: MessageLayout<unknown> = {
  pack: message => message,
  unpack: packed => packed,
};
